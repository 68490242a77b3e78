"""Egress policy: the only place that permits forwarding a packet to an upstream."""

from collections.abc import Mapping

from chicoryproxy.ids import DomainId, ServiceId, UpstreamId
from chicoryproxy.model import Configuration, Service
from chicoryproxy.protocol.actions import Forward
from chicoryproxy.states import DomainState, DropReason, RefusalReason

EgressDecision = tuple[Forward] | DropReason | RefusalReason
"""Prebuilt forwarding actions, or the reason why forwarding is not permitted."""


class EgressPolicy:
    """Decides whether a packet of a service may be forwarded to an upstream.

    Every ``Forward`` action of the packet core is built here. All decisions are computed when the
    policy is created, so a check costs two dictionary look-ups and allocates nothing.

    :param decisions: decision for each listed upstream, by service.
    """

    __slots__ = ("_decisions",)

    def __init__(self, decisions: Mapping[ServiceId, Mapping[UpstreamId, EgressDecision]]) -> None:
        self._decisions = decisions

    def check(self, service: ServiceId, upstream: UpstreamId) -> EgressDecision:
        """Return the forwarding actions for an upstream, or the reason not to forward.

        :param service: service of the packet's destination address.
        :returns: ``UNKNOWN_SERVICE`` or ``NOT_LISTED`` if the packet must be dropped,
            ``DOMAIN_OUT`` if the flow must be refused.
        """
        decisions_by_upstream = self._decisions.get(service)
        if decisions_by_upstream is None:
            return DropReason.UNKNOWN_SERVICE
        return decisions_by_upstream.get(upstream, DropReason.NOT_LISTED)


def create_egress_policy(configuration: Configuration) -> EgressPolicy:
    """Create the policy for one version of the configuration.

    Upstreams whose failure domain the configuration doesn't list are not permitted.
    """
    states = {domain.id: domain.state for domain in configuration.domains}
    return EgressPolicy(
        {service.id: _decide_all(service, states) for service in configuration.services}
    )


def is_permitted(
    egress_policy: EgressPolicy | None, service: ServiceId, upstream: UpstreamId
) -> bool:
    """Return whether packets of a service may be forwarded to an upstream.

    Without a policy nothing is permitted.
    """
    return egress_policy is not None and isinstance(egress_policy.check(service, upstream), tuple)


def _decide_all(
    service: Service, states: Mapping[DomainId, DomainState]
) -> Mapping[UpstreamId, EgressDecision]:
    decisions: dict[UpstreamId, EgressDecision] = {}
    for upstream in service.upstreams:
        state = states.get(upstream.domain)
        if state is DomainState.IN:
            decisions[upstream.id] = (Forward(upstream.id, upstream.address),)
        elif state is DomainState.OUT:
            decisions[upstream.id] = RefusalReason.DOMAIN_OUT
    return decisions

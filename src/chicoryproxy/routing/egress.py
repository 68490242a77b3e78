"""The one place that lets a packet leave for an upstream."""

from collections.abc import Mapping

from chicoryproxy.ids import DomainId, ServiceId, UpstreamId
from chicoryproxy.model import Configuration, Service
from chicoryproxy.protocol.actions import Forward
from chicoryproxy.states import DomainState, DropReason, RefusalReason

EgressDecision = tuple[Forward] | DropReason | RefusalReason
"""Prepared actions, or the reason why there are none."""


class EgressPolicy:
    """Permits a packet of a service to leave for an upstream.

    Every ``Forward`` of the packet core comes from here. All answers are prepared when the policy
    is created, so that a question costs two look-ups and creates no object.

    :param decisions: for each service the answer for each of its listed upstreams.
    """

    __slots__ = ("_decisions",)

    def __init__(self, decisions: Mapping[ServiceId, Mapping[UpstreamId, EgressDecision]]) -> None:
        self._decisions = decisions

    def check(self, service: ServiceId, upstream: UpstreamId) -> EgressDecision:
        """Return the prepared actions for an upstream, or the reason against it.

        :param service: service of the packet's destination address.
        :returns: ``UNKNOWN_SERVICE`` or ``NOT_LISTED`` to drop the packet, ``DOMAIN_OUT`` to
            give up the flow.
        """
        decisions_by_upstream = self._decisions.get(service)
        if decisions_by_upstream is None:
            return DropReason.UNKNOWN_SERVICE
        return decisions_by_upstream.get(upstream, DropReason.NOT_LISTED)


def create_egress_policy(configuration: Configuration) -> EgressPolicy:
    """Prepare the policy of one version of the configuration.

    An upstream of a domain that the configuration doesn't list isn't permitted.
    """
    states = {domain.id: domain.state for domain in configuration.domains}
    return EgressPolicy(
        {service.id: _decide_all(service, states) for service in configuration.services}
    )


def is_permitted(
    egress_policy: EgressPolicy | None, service: ServiceId, upstream: UpstreamId
) -> bool:
    """Return whether packets of a service may leave for an upstream now."""
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

"""The one place that lets a packet leave for an upstream."""

from collections.abc import Mapping

from chicoryproxy.ids import DomainId, ServiceId, UpstreamId
from chicoryproxy.model import Configuration, Service
from chicoryproxy.protocol.actions import Forward
from chicoryproxy.states import DomainState, DropReason, RefusalReason

Permit = tuple[Forward] | DropReason | RefusalReason
"""Prepared actions, or the reason why there are none."""


class Gate:
    """Permits a packet of a service to leave for an upstream.

    Every ``Forward`` of the packet core comes from here. All answers are prepared when the gate
    is created, so that a question costs two look-ups and creates no object.

    :param permits: for each service the answer for each of its listed upstreams.
    """

    __slots__ = ("_permits",)

    def __init__(self, permits: Mapping[ServiceId, Mapping[UpstreamId, Permit]]) -> None:
        self._permits = permits

    def permit(self, service: ServiceId, upstream: UpstreamId) -> Permit:
        """Return the prepared actions for an upstream, or the reason against it.

        :param service: service of the packet's destination address.
        :returns: ``UNKNOWN_SERVICE`` or ``NOT_LISTED`` to drop the packet, ``DOMAIN_OUT`` to
            give up the flow.
        """
        listed = self._permits.get(service)
        if listed is None:
            return DropReason.UNKNOWN_SERVICE
        return listed.get(upstream, DropReason.NOT_LISTED)


def create_gate(configuration: Configuration) -> Gate:
    """Prepare the gate of one version of the configuration.

    An upstream of a domain that the configuration doesn't list isn't permitted.
    """
    states = {domain.id: domain.state for domain in configuration.domains}
    return Gate({service.id: _permit_all(service, states) for service in configuration.services})


def is_permitted(gate: Gate | None, service: ServiceId, upstream: UpstreamId) -> bool:
    """Return whether packets of a service may leave for an upstream now."""
    return gate is not None and isinstance(gate.permit(service, upstream), tuple)


def _permit_all(
    service: Service, states: Mapping[DomainId, DomainState]
) -> Mapping[UpstreamId, Permit]:
    permits: dict[UpstreamId, Permit] = {}
    for upstream in service.upstreams:
        state = states.get(upstream.domain)
        if state is DomainState.IN:
            permits[upstream.id] = (Forward(upstream.id, upstream.address),)
        elif state is DomainState.OUT:
            permits[upstream.id] = RefusalReason.DOMAIN_OUT
    return permits

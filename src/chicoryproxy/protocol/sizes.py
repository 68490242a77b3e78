"""Estimated sizes on the wire of messages between views.

The control core has no access to the codec, so it charges these estimates to its budget.
"""

from chicoryproxy.model import Configuration, Generation, Instance, UpstreamCondition
from chicoryproxy.protocol.messages import (
    Ack,
    Gossip,
    MemberUpdate,
    Ping,
    PingRequest,
    VersionBody,
    VersionFetch,
    ViewMessage,
)

MESSAGE_OVERHEAD_BYTES = 120
"""IP and UDP headers, authentication, framing and the fixed fields of a message."""

MEMBER_BYTES = 14
CONDITION_BYTES = 28
INSTANCE_BYTES = 160
UPSTREAM_BYTES = 160
SERVICE_BYTES = 160
DOMAIN_BYTES = 48


def estimate_member_bytes(update: MemberUpdate) -> int:
    """Return the estimated size of a member update."""
    return MEMBER_BYTES + len(update.instance)


def estimate_condition_bytes(condition: UpstreamCondition) -> int:
    """Return the estimated size of the condition of an upstream."""
    return CONDITION_BYTES + len(condition.upstream)


def estimate_message_bytes(message: ViewMessage) -> int:
    """Return the estimated size of a message, including its headers."""
    match message:
        case Ping(gossip=gossip):
            return MESSAGE_OVERHEAD_BYTES + _estimate_gossip_bytes(gossip)
        case Ack(subject=subject, gossip=gossip) | PingRequest(subject=subject, gossip=gossip):
            return MESSAGE_OVERHEAD_BYTES + len(subject) + _estimate_gossip_bytes(gossip)
        case VersionFetch():
            return MESSAGE_OVERHEAD_BYTES
        case VersionBody():
            return _estimate_body_bytes(message)


def _estimate_gossip_bytes(gossip: Gossip) -> int:
    members = sum(map(estimate_member_bytes, gossip.members))
    return members + sum(map(estimate_condition_bytes, gossip.conditions))


def _estimate_body_bytes(body: VersionBody) -> int:
    instances = sum(map(_estimate_instance_bytes, body.instances))
    generations = sum(map(_estimate_generation_bytes, body.generations))
    conditions = sum(map(estimate_condition_bytes, body.conditions))
    configuration = _estimate_configuration_bytes(body.configuration)
    return MESSAGE_OVERHEAD_BYTES + instances + generations + conditions + configuration


def _estimate_configuration_bytes(configuration: Configuration) -> int:
    services = SERVICE_BYTES * len(configuration.services)
    upstreams = sum(len(service.upstreams) for service in configuration.services)
    return services + UPSTREAM_BYTES * upstreams + DOMAIN_BYTES * len(configuration.domains)


def _estimate_generation_bytes(generation: Generation) -> int:
    return DOMAIN_BYTES + UPSTREAM_BYTES * len(generation.members)


def _estimate_instance_bytes(instance: Instance) -> int:
    return INSTANCE_BYTES + len(instance.id)

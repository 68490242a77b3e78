"""Estimates of the bytes that messages between views take on the wire.

The control core budgets by these estimates, since the codec is outside of the core.
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

MESSAGE_BYTES = 120
"""IP and UDP headers, authentication, framing and the fixed fields of a message."""

MEMBER_BYTES = 14
CONDITION_BYTES = 28
INSTANCE_BYTES = 160
UPSTREAM_BYTES = 160
SERVICE_BYTES = 160
DOMAIN_BYTES = 48


def estimate_member(update: MemberUpdate) -> int:
    """Return the bytes of a piece of membership knowledge."""
    return MEMBER_BYTES + len(update.instance)


def estimate_condition(condition: UpstreamCondition) -> int:
    """Return the bytes of an upstream's condition."""
    return CONDITION_BYTES + len(condition.upstream)


def estimate_message(message: ViewMessage) -> int:
    """Return the bytes of a message, headers included."""
    match message:
        case Ping(gossip=gossip):
            return MESSAGE_BYTES + _estimate_gossip(gossip)
        case Ack(subject=subject, gossip=gossip) | PingRequest(subject=subject, gossip=gossip):
            return MESSAGE_BYTES + len(subject) + _estimate_gossip(gossip)
        case VersionFetch():
            return MESSAGE_BYTES
        case VersionBody():
            return _estimate_body(message)


def _estimate_gossip(gossip: Gossip) -> int:
    members = sum(map(estimate_member, gossip.members))
    return members + sum(map(estimate_condition, gossip.conditions))


def _estimate_body(body: VersionBody) -> int:
    instances = sum(map(_estimate_instance, body.instances))
    generations = sum(map(_estimate_generation, body.generations))
    conditions = sum(map(estimate_condition, body.conditions))
    configuration = _estimate_configuration(body.configuration)
    return MESSAGE_BYTES + instances + generations + conditions + configuration


def _estimate_configuration(configuration: Configuration) -> int:
    services = SERVICE_BYTES * len(configuration.services)
    upstreams = sum(len(service.upstreams) for service in configuration.services)
    return services + UPSTREAM_BYTES * upstreams + DOMAIN_BYTES * len(configuration.domains)


def _estimate_generation(generation: Generation) -> int:
    return DOMAIN_BYTES + UPSTREAM_BYTES * len(generation.members)


def _estimate_instance(instance: Instance) -> int:
    return INSTANCE_BYTES + len(instance.id)

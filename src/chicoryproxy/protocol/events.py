"""Readings of the outside world that drivers hand to the control core."""

from msgspec import Struct

from chicoryproxy.ids import UpstreamId
from chicoryproxy.model import Configuration, Instance
from chicoryproxy.states import UpstreamState


class ConfigurationRead(Struct, frozen=True):
    """The platform served a complete configuration."""

    configuration: Configuration


class InstancesRead(Struct, frozen=True):
    """The platform served its list of instances, which may lag."""

    instances: tuple[Instance, ...]


class PlatformReadFailed(Struct, frozen=True):
    """The platform did not answer, or answered with something that could not be used."""

    reason: str


class HealthReading(Struct, frozen=True):
    """An upstream's own word on its health and load, which may lag or mislead.

    :param reachable: false when the endpoint did not answer in time.
    :param state: what the upstream says of itself; ``None`` if it does not say.
    :param started_at_s: its start time in seconds since the epoch; zero if unknown.
    :param slots_used: requests in service; negative if unknown.
    :param connections: open connections; negative if unknown.
    :param latency_s: time that the reading took, in seconds.
    """

    upstream: UpstreamId
    reachable: bool
    state: UpstreamState | None = None
    started_at_s: float = 0.0
    slots_used: int = -1
    connections: int = -1
    latency_s: float = 0.0

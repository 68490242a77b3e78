"""Events that drivers pass to the control core."""

from msgspec import Struct

from chicoryproxy.ids import UpstreamId
from chicoryproxy.model import Configuration, Instance
from chicoryproxy.states import UpstreamState


class ConfigurationRead(Struct, frozen=True):
    """A complete configuration was read from the platform."""

    configuration: Configuration


class InstancesRead(Struct, frozen=True):
    """The list of instances, which may be out of date, was read from the platform."""

    instances: tuple[Instance, ...]


class PlatformReadFailed(Struct, frozen=True):
    """Reading from the platform failed: there was no response, or it was not usable."""

    reason: str


class HealthReading(Struct, frozen=True):
    """Health and load as an upstream reports them; they may be out of date or wrong.

    :param reachable: false if the health endpoint did not respond in time.
    :param state: state that the upstream reports; ``None`` if it reports none.
    :param started_at_s: start time of the upstream as a Unix timestamp; zero if unknown.
    :param slots_used: number of requests in progress; negative if unknown.
    :param connections: number of open connections; negative if unknown.
    :param latency_s: duration of the health request, in seconds.
    """

    upstream: UpstreamId
    reachable: bool
    state: UpstreamState | None = None
    started_at_s: float = 0.0
    slots_used: int = -1
    connections: int = -1
    latency_s: float = 0.0

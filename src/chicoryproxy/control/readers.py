"""Selects the instances of each failure domain that watch the platform.

Only a few instances of each domain, the readers, watch the platform. The others get new versions
from them, so the load on the platform scales with the number of domains, not of instances.
"""

from collections.abc import Iterable
from enum import Enum, unique

from chicoryproxy.control.outbox import Outbox
from chicoryproxy.ids import DomainId, InstanceId, Version
from chicoryproxy.model import Instance
from chicoryproxy.protocol.actions import StopWatching, WatchPlatform
from chicoryproxy.rendezvous import rank_instances

READERS_PER_DOMAIN = 3
NOTIFY_ALL_MAX_MEMBERS = 16
"""Region size up to which a new version is announced to all members directly."""

NOTIFY_FAN_OUT = 8
"""Number of members to which a new version is announced in a larger region."""

READ_FAILURE_LOG_INTERVAL_S = 10.0


@unique
class WatchState(Enum):
    """Whether this instance watches the platform."""

    IDLE = "idle"
    WATCHING = "watching"


def choose_readers(domain: DomainId, alive: Iterable[Instance]) -> tuple[InstanceId, ...]:
    """Choose the readers among the live instances of a domain."""
    ids = (instance.id for instance in alive)
    return tuple(rank_instances(f"reader/{domain}", ids, READERS_PER_DOMAIN))


class ReaderRole:
    """Starts and stops the platform watch of this instance and counts failed reads.

    :param instance: this instance.
    :param outbox: receives the actions.
    """

    def __init__(self, instance: Instance, outbox: Outbox) -> None:
        self._instance = instance
        self._outbox = outbox
        self._state = WatchState.IDLE
        self._failed_reads = 0
        self._logged_at: float | None = None

    @property
    def state(self) -> WatchState:
        """Whether this instance watches the platform."""
        return self._state

    @property
    def failed_reads(self) -> int:
        """Number of failed reads."""
        return self._failed_reads

    def start_watching(self, version: Version) -> None:
        """Start watching, as every instance does until it has a configuration and peers."""
        if self._state is WatchState.IDLE:
            self._state = WatchState.WATCHING
            self._outbox.add(WatchPlatform(version))
            self._outbox.log("reader", "started watching the platform", self._instance.id)

    def update(self, alive: Iterable[Instance], version: Version) -> None:
        """Start or stop the watch depending on the live instances of this domain.

        :param alive: live instances of this instance's domain, including itself.
        """
        if self._instance.id in choose_readers(self._instance.domain, alive):
            self.start_watching(version)
        elif self._state is WatchState.WATCHING:
            self._state = WatchState.IDLE
            self._outbox.add(StopWatching())
            self._outbox.log(
                "reader",
                "stopped watching the platform; other instances are readers",
                self._instance.id,
            )

    def record_failed_read(self, reason: str, now: float) -> None:
        """Count a failed read; the active configuration is kept."""
        self._failed_reads += 1
        if self._logged_at is None or now - self._logged_at >= READ_FAILURE_LOG_INTERVAL_S:
            self._logged_at = now
            self._outbox.log("reader", f"platform read failed: {reason}", self._instance.id)

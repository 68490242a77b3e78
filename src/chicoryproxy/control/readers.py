"""Which instances of a failure domain watch the platform.

A few instances of each domain watch; the others get new versions from them, so that the calls to
the platform grow with the domains and not with the instances.
"""

from collections.abc import Iterable
from enum import Enum, unique

from chicoryproxy.control.outbox import Outbox
from chicoryproxy.ids import DomainId, InstanceId, Version
from chicoryproxy.model import Instance
from chicoryproxy.protocol.actions import StopWatching, WatchPlatform
from chicoryproxy.rendezvous import rank_instances

READERS_PER_DOMAIN = 3
NOTIFY_ALL_UP_TO = 16
"""Size of a region up to which a new version is told to every member at once."""

NOTIFY_FAN_OUT = 8
UNREAD_LOG_S = 10.0


@unique
class WatchState(Enum):
    """Whether this instance watches the platform."""

    IDLE = "idle"
    WATCHING = "watching"


def choose_readers(domain: DomainId, alive: Iterable[Instance]) -> tuple[InstanceId, ...]:
    """Return the readers among the live instances of a domain."""
    ids = (instance.id for instance in alive)
    return tuple(rank_instances(f"reader/{domain}", ids, READERS_PER_DOMAIN))


class ReaderDuty:
    """Whether this instance watches the platform, and how its reads went.

    :param instance: this instance.
    :param outbox: takes the actions.
    """

    def __init__(self, instance: Instance, outbox: Outbox) -> None:
        self._own = instance
        self._outbox = outbox
        self._state = WatchState.IDLE
        self._unread = 0
        self._logged_at: float | None = None

    @property
    def state(self) -> WatchState:
        """Whether this instance watches."""
        return self._state

    @property
    def unread(self) -> int:
        """Number of reads that failed."""
        return self._unread

    def start(self, version: Version) -> None:
        """Watch, as every instance does until it has a configuration and its peers."""
        if self._state is WatchState.IDLE:
            self._state = WatchState.WATCHING
            self._outbox.add(WatchPlatform(version))
            self._outbox.log("reader", "watches the platform", self._own.id)

    def update(self, alive: Iterable[Instance], version: Version) -> None:
        """Start or end the watch as the live instances of this domain demand.

        :param alive: live instances of this instance's domain, itself included.
        """
        if self._own.id in choose_readers(self._own.domain, alive):
            self.start(version)
        elif self._state is WatchState.WATCHING:
            self._state = WatchState.IDLE
            self._outbox.add(StopWatching())
            self._outbox.log("reader", "leaves the platform to other readers", self._own.id)

    def note_unread(self, reason: str, now: float) -> None:
        """Count a failed read; what is in force stays."""
        self._unread += 1
        if self._logged_at is None or now - self._logged_at >= UNREAD_LOG_S:
            self._logged_at = now
            self._outbox.log("reader", f"platform not read: {reason}", self._own.id)

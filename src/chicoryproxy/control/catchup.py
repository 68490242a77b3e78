"""Fetching of versions and generations from peers.

An instance that starts asks peers before it uses what the platform served, and one that skipped
versions asks for the generations in between. Both end after a bounded time without answers.
"""

from enum import Enum, unique

from chicoryproxy.control.membership import Membership
from chicoryproxy.control.outbox import Outbox
from chicoryproxy.control.versions import VersionStore
from chicoryproxy.ids import NO_VERSION, InstanceId, Version
from chicoryproxy.model import Configuration
from chicoryproxy.protocol.messages import VersionBody

FETCH_FAN_OUT = 3
CATCH_UP_TIMEOUT_S = 2.0
"""Longest time that a start or a skipped version waits for the answers of peers, in seconds."""

RETRY_INTERVAL_S = 0.4


@unique
class CatchUpState(Enum):
    """How far this instance is with what its peers know.

    ``JOINING`` holds back the configuration, ``FETCHING`` makes the view stale only.
    """

    JOINING = "joining"
    FETCHING = "fetching"
    CURRENT = "current"


class CatchUp:
    """Asks peers for what this instance lacks.

    :param membership: gives the peers that answer.
    :param versions: tells what is lacking.
    :param outbox: takes the requests.
    """

    def __init__(self, membership: Membership, versions: VersionStore, outbox: Outbox) -> None:
        self._membership = membership
        self._versions = versions
        self._outbox = outbox
        self._state = CatchUpState.JOINING
        self._is_list_known = False
        self._is_unanswered = False
        self._have = NO_VERSION
        self._started_at: float | None = None
        self._requested_at = 0.0
        self._requested: set[InstanceId] = set()
        self._answered: set[InstanceId] = set()
        self._platform_configuration: Configuration | None = None
        self._bodies: dict[InstanceId, VersionBody] = {}
        self._highest_requested_at: float | None = None

    @property
    def state(self) -> CatchUpState:
        """How far this instance is."""
        return self._state

    @property
    def is_unanswered(self) -> bool:
        """True when the last wait ended although listed peers never answered."""
        return self._is_unanswered

    def begin(self, have: Version, now: float) -> None:
        """Ask peers for the generations and the conditions that this instance lacks.

        :param have: last version up to which it lacks nothing.
        """
        self._have = have
        self._is_unanswered = False
        self._state = CatchUpState.FETCHING
        self._answered.clear()
        self._requested.clear()
        self._started_at = now
        self._send_requests(now)

    def begin_joining(self, now: float) -> None:
        """Ask the peers of the first list for everything."""
        if not self._is_list_known:
            self._is_list_known = True
            self._started_at = now
            self._send_requests(now)

    def hold_configuration(self, configuration: Configuration, now: float) -> None:
        """Keep what the platform served until the peers have answered."""
        if self._started_at is None:
            self._started_at = now
        if (
            self._platform_configuration is None
            or configuration.version > self._platform_configuration.version
        ):
            self._platform_configuration = configuration

    def record_answer(self, sender: InstanceId, body: VersionBody) -> None:
        """Note the answer of a peer, and keep it while this instance joins."""
        self._answered.add(sender)
        if self._state is CatchUpState.JOINING and body.configuration.version > NO_VERSION:
            self._bodies[sender] = body

    def pop_platform_configuration(self) -> Configuration | None:
        """Return the configuration of the platform that was held back, and forget it."""
        read = self._platform_configuration
        self._platform_configuration = None
        return read

    def pop_bodies(self) -> tuple[VersionBody, ...]:
        """Return the answers with a configuration, newest first, and forget them."""
        bodies = sorted(self._bodies.values(), key=lambda body: -body.configuration.version)
        self._bodies.clear()
        return tuple(bodies)

    def try_finish(self, now: float) -> bool:
        """End the wait when enough peers have answered or its time is over.

        :returns: true when this call ended it.
        """
        if self._state is CatchUpState.CURRENT or self._started_at is None:
            return False
        peers = len(self._membership) - 1
        required = min(FETCH_FAN_OUT, peers) if self._is_list_known else FETCH_FAN_OUT
        if len(self._answered) < required and now - self._started_at < CATCH_UP_TIMEOUT_S:
            return False
        if self._state is CatchUpState.JOINING and not self._has_configuration():
            return False
        self._state = CatchUpState.CURRENT
        self._is_unanswered = required > 0 and not self._answered
        self._outbox.log("version", f"caught up with {len(self._answered)} peers")
        return True

    def tick(self, now: float) -> None:
        """Repeat requests that weren't answered."""
        if self._versions.is_behind:
            self.request_highest(now)
        waits = self._state is not CatchUpState.CURRENT and self._started_at is not None
        if waits and now - self._requested_at >= RETRY_INTERVAL_S:
            self._send_requests(now)

    def request_highest(self, now: float) -> None:
        """Ask a peer for a higher version that was heard of, unless a request is under way."""
        if (
            self._highest_requested_at is not None
            and now - self._highest_requested_at < RETRY_INTERVAL_S
        ):
            return
        source = self._choose_source()
        if source is not None:
            self._highest_requested_at = now
            self._outbox.send_fetch(source, self._versions.version)

    def allow_request(self) -> None:
        """Permit the next request at once."""
        self._highest_requested_at = None

    def _has_configuration(self) -> bool:
        return self._platform_configuration is not None or bool(self._bodies)

    def _choose_source(self) -> InstanceId | None:
        reachable = self._membership.list_reachable()
        highest = self._versions.highest
        holders = [peer for peer in reachable if self._versions.get_peer_version(peer) >= highest]
        source = self._versions.highest_source
        if source in holders and self._highest_requested_at is None:
            return source
        drawn = self._membership.sample(holders or reachable, 1)
        return drawn[0] if drawn else None

    def _send_requests(self, now: float) -> None:
        self._requested_at = now
        unanswered = [
            peer for peer in self._membership.list_reachable() if peer not in self._answered
        ]
        unasked = [peer for peer in unanswered if peer not in self._requested]
        missing = FETCH_FAN_OUT - len(self._answered)
        for peer in self._membership.sample(unasked or unanswered, missing):
            self._requested.add(peer)
            self._outbox.send_fetch(peer, self._have)

"""Fetches versions and generations from peers.

A starting instance queries peers before it uses the configuration served by the platform. An
instance that skipped versions fetches the generations in between. Both give up after a timeout if
no peer answers.
"""

from enum import Enum, unique

from chicoryproxy.control.membership import Membership
from chicoryproxy.control.outbox import Outbox
from chicoryproxy.control.readers import NOTIFY_ALL_MAX_MEMBERS
from chicoryproxy.control.versions import VersionStore
from chicoryproxy.ids import NO_VERSION, InstanceId, Version
from chicoryproxy.model import Configuration
from chicoryproxy.protocol.messages import VersionBody

FETCH_FAN_OUT = 3
"""Number of peers that are queried, and whose complete answers end the wait."""

CATCH_UP_TIMEOUT_S = 2.0
"""Maximum wait for answers of peers after a start or a skipped version, in seconds."""

RETRY_INTERVAL_S = 0.4


@unique
class CatchUpState(Enum):
    """Progress of this instance in fetching the state of its peers.

    ``JOINING`` delays the use of any configuration; ``FETCHING`` only marks the view as stale.
    """

    JOINING = "joining"
    FETCHING = "fetching"
    CURRENT = "current"


class CatchUp:
    """Fetches missing versions, generations and conditions from peers.

    :param membership: provides the reachable peers.
    :param versions: tells whether a peer has a higher version.
    :param outbox: receives the requests.
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
        self._complete: set[InstanceId] = set()
        self._platform_configuration: Configuration | None = None
        self._bodies: dict[InstanceId, VersionBody] = {}
        self._highest_requested_at: float | None = None

    @property
    def state(self) -> CatchUpState:
        """Current progress."""
        return self._state

    @property
    def is_unanswered(self) -> bool:
        """True if the last wait timed out without a complete answer from any listed peer."""
        return self._is_unanswered

    def begin(self, have: Version, now: float) -> None:
        """Start fetching missing generations and conditions from peers.

        :param have: last version for which the state of this instance is complete.
        """
        self._have = have
        self._is_unanswered = False
        self._state = CatchUpState.FETCHING
        self._answered.clear()
        self._complete.clear()
        self._requested.clear()
        self._started_at = now
        self._send_requests(now)

    def begin_joining(self, now: float) -> None:
        """Request the complete state from peers, once the first instance list is known."""
        if not self._is_list_known:
            self._is_list_known = True
            self._started_at = now
            self._send_requests(now)

    def hold_configuration(self, configuration: Configuration, now: float) -> None:
        """Hold a configuration from the platform back until the peers have answered."""
        if self._started_at is None:
            self._started_at = now
        if (
            self._platform_configuration is None
            or configuration.version > self._platform_configuration.version
        ):
            self._platform_configuration = configuration

    def record_answer(self, sender: InstanceId, body: VersionBody, now: float) -> None:
        """Record the answer of a peer; its content is kept only while this instance joins.

        The answer of a peer that joins as well is not complete, as it has no generations. In a
        small region the others are queried at once, so that a new fleet doesn't wait. One
        that lacks a version which the peer is known to have was sent before this fetch.
        """
        known = self._versions.get_peer_version(sender)
        has_news = body.configuration.version > self._have
        if not has_news and known > self._have:
            return
        self._answered.add(sender)
        if has_news or known > NO_VERSION:
            self._complete.add(sender)
        elif len(self._membership) <= NOTIFY_ALL_MAX_MEMBERS:
            self._send_requests(now, only_unasked=True)
        if has_news and self._state is CatchUpState.JOINING:
            self._bodies[sender] = body

    def pop_platform_configuration(self) -> Configuration | None:
        """Return and clear the configuration that was held back, if any."""
        read = self._platform_configuration
        self._platform_configuration = None
        return read

    def pop_bodies(self) -> tuple[VersionBody, ...]:
        """Return and clear the answers that carry a configuration, newest version first."""
        bodies = sorted(self._bodies.values(), key=lambda body: -body.configuration.version)
        self._bodies.clear()
        return tuple(bodies)

    def try_finish(self, now: float) -> bool:
        """End the wait if enough peers have answered or the timeout has passed.

        :returns: true if this call ended the wait.
        """
        if self._state is CatchUpState.CURRENT or self._started_at is None:
            return False
        peers = len(self._membership) - 1
        required = min(FETCH_FAN_OUT, peers) if self._is_list_known else FETCH_FAN_OUT
        is_complete = len(self._complete) >= required
        have_all_answered = self._is_list_known and len(self._answered) >= peers
        is_over = now - self._started_at >= CATCH_UP_TIMEOUT_S
        if not (is_complete or have_all_answered or is_over):
            return False
        if self._state is CatchUpState.JOINING and not self._has_configuration():
            return False
        self._state = CatchUpState.CURRENT
        self._is_unanswered = peers > len(self._answered) and not self._complete
        self._outbox.log("version", f"caught up from {len(self._complete)} peers")
        return True

    def tick(self, now: float) -> None:
        """Repeat unanswered requests."""
        if self._versions.is_behind:
            self.request_highest(now)
        waits = self._state is not CatchUpState.CURRENT and self._started_at is not None
        if waits and now - self._requested_at >= RETRY_INTERVAL_S:
            self._send_requests(now)

    def request_highest(self, now: float) -> None:
        """Request the highest known version from a peer, unless a request is pending."""
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
        """Allow the next request without waiting for the retry interval."""
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

    def _send_requests(self, now: float, only_unasked: bool = False) -> None:
        self._requested_at = now
        unanswered = [
            peer for peer in self._membership.list_reachable() if peer not in self._answered
        ]
        unasked = [peer for peer in unanswered if peer not in self._requested]
        missing = FETCH_FAN_OUT - len(self._complete)
        candidates = unasked if only_unasked else unasked or unanswered
        for peer in self._membership.sample(candidates, missing):
            self._requested.add(peer)
            self._outbox.send_fetch(peer, self._have)

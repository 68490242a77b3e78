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

PEERS_ASKED = 3
JOIN_S = 2.0
"""Longest time that a start or a skipped version waits for the answers of peers, in seconds."""

RETRY_S = 0.4


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
        self._is_alone = False
        self._have = NO_VERSION
        self._began_at: float | None = None
        self._asked_at = 0.0
        self._asked: set[InstanceId] = set()
        self._answered: set[InstanceId] = set()
        self._read: Configuration | None = None
        self._bodies: dict[InstanceId, VersionBody] = {}
        self._followed_at: float | None = None

    @property
    def state(self) -> CatchUpState:
        """How far this instance is."""
        return self._state

    @property
    def is_alone(self) -> bool:
        """True when the last wait ended although listed peers never answered."""
        return self._is_alone

    def begin(self, have: Version, now: float) -> None:
        """Ask peers for the generations and the conditions that this instance lacks.

        :param have: last version up to which it lacks nothing.
        """
        self._have = have
        self._is_alone = False
        self._state = CatchUpState.FETCHING
        self._answered.clear()
        self._asked.clear()
        self._began_at = now
        self._ask(now)

    def begin_joining(self, now: float) -> None:
        """Ask the peers of the first list for everything."""
        if not self._is_list_known:
            self._is_list_known = True
            self._began_at = now
            self._ask(now)

    def hold(self, configuration: Configuration, now: float) -> None:
        """Keep what the platform served until the peers have answered."""
        if self._began_at is None:
            self._began_at = now
        if self._read is None or configuration.version > self._read.version:
            self._read = configuration

    def note_answer(self, sender: InstanceId, body: VersionBody) -> None:
        """Note the answer of a peer, and keep it while this instance joins."""
        self._answered.add(sender)
        if self._state is CatchUpState.JOINING and body.configuration.version > NO_VERSION:
            self._bodies[sender] = body

    def take_read(self) -> Configuration | None:
        """Return the configuration of the platform that was held back, and forget it."""
        read = self._read
        self._read = None
        return read

    def take_bodies(self) -> tuple[VersionBody, ...]:
        """Return the answers with a configuration, newest first, and forget them."""
        bodies = sorted(self._bodies.values(), key=lambda body: -body.configuration.version)
        self._bodies.clear()
        return tuple(bodies)

    def try_finish(self, now: float) -> bool:
        """End the wait when enough peers have answered or its time is over.

        :returns: true when this call ended it.
        """
        if self._state is CatchUpState.CURRENT or self._began_at is None:
            return False
        peers = len(self._membership) - 1
        wanted = min(PEERS_ASKED, peers) if self._is_list_known else PEERS_ASKED
        if len(self._answered) < wanted and now - self._began_at < JOIN_S:
            return False
        if self._state is CatchUpState.JOINING and not self._has_configuration():
            return False
        self._state = CatchUpState.CURRENT
        self._is_alone = wanted > 0 and not self._answered
        self._outbox.log("version", f"caught up with {len(self._answered)} peers")
        return True

    def tick(self, now: float) -> None:
        """Repeat requests that weren't answered."""
        if self._versions.is_behind:
            self.follow(now)
        waits = self._state is not CatchUpState.CURRENT and self._began_at is not None
        if waits and now - self._asked_at >= RETRY_S:
            self._ask(now)

    def follow(self, now: float) -> None:
        """Ask a peer for a higher version that was heard of, unless a request is under way."""
        if self._followed_at is not None and now - self._followed_at < RETRY_S:
            return
        source = self._choose_source()
        if source is not None:
            self._followed_at = now
            self._outbox.send_fetch(source, self._versions.version)

    def note_adopted(self) -> None:
        """Permit the next request at once."""
        self._followed_at = None

    def _has_configuration(self) -> bool:
        return self._read is not None or bool(self._bodies)

    def _choose_source(self) -> InstanceId | None:
        reachable = self._membership.list_reachable()
        highest = self._versions.highest
        holders = [peer for peer in reachable if self._versions.get_confirmed(peer) >= highest]
        source = self._versions.highest_source
        if source in holders and self._followed_at is None:
            return source
        drawn = self._membership.draw_from(holders or reachable, 1)
        return drawn[0] if drawn else None

    def _ask(self, now: float) -> None:
        self._asked_at = now
        silent = [peer for peer in self._membership.list_reachable() if peer not in self._answered]
        fresh = [peer for peer in silent if peer not in self._asked]
        missing = PEERS_ASKED - len(self._answered)
        for peer in self._membership.draw_from(fresh or silent, missing):
            self._asked.add(peer)
            self._outbox.send_fetch(peer, self._have)

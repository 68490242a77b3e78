"""Detects that the own failure domain is partitioned from the others and can't serve its callers.

The routers send callers to the entries of their own failure domain, or to others if none of these
is ready. An entry that finds no upstream for most openings therefore reports that it is not ready
if entries of other failure domains can probably reach some: it receives no heartbeat from there,
and all upstreams there are unreachable. If only the upstreams have failed, heartbeats still arrive,
and the other entries would not serve the callers either.
"""

from collections import deque

from msgspec import Struct

from chicoryproxy.forwarding.directory import Directory
from chicoryproxy.forwarding.model import RouteKey
from chicoryproxy.forwarding.peering import PeerGroup
from chicoryproxy.forwarding.placement import OpeningPolicy
from chicoryproxy.ids import DomainId

WINDOW_S = 1.0
MIN_REFUSED = 3
REFUSED_SHARE = 0.5
"""Minimum share of refused openings. Below it callers stay, because sending them elsewhere would
also move their open flows."""

MAX_RECENT_OPENINGS = 256


class _Opening(Struct, frozen=True):
    route: RouteKey
    is_refused: bool
    decided_s: float


class RecentOpenings:
    """Recent openings, and whether each of them found an upstream."""

    def __init__(self) -> None:
        self._recent: deque[_Opening] = deque(maxlen=MAX_RECENT_OPENINGS)

    def record(self, route: RouteKey, is_refused: bool, now: float) -> None:
        """Record an opening that was forwarded, or refused because there was no upstream."""
        self._recent.append(_Opening(route, is_refused, now))

    def list_refused(self, now: float) -> set[RouteKey]:
        """Return the refused routes if enough of the openings were refused, else an empty set."""
        while self._recent and now - self._recent[0].decided_s > WINDOW_S:
            self._recent.popleft()
        refused = [opening.route for opening in self._recent if opening.is_refused]
        if len(refused) < max(MIN_REFUSED, len(self._recent) * REFUSED_SHARE):
            return set()
        return set(refused)


class IsolationDetector:
    """Decides whether callers should use entries of other failure domains.

    :param domain: failure domain of this entry.

    :ivar is_isolated: True if they should.
    """

    def __init__(
        self,
        domain: DomainId,
        directory: Directory,
        peers: PeerGroup,
        policy: OpeningPolicy,
        recent_openings: RecentOpenings,
    ) -> None:
        self.is_isolated = False
        self._domain = domain
        self._directory = directory
        self._peers = peers
        self._policy = policy
        self._recent_openings = recent_openings
        self._refused: set[RouteKey] = set()

    def tick(self, now: float) -> bool:
        """Update ``is_isolated``.

        :returns: True if ``is_isolated`` has changed.
        """
        before = self.is_isolated
        # Checked first because a partition is rare and the check is the cheapest.
        self.is_isolated = self._peers.is_partitioned(now) and self._finds_no_upstream(now)
        return self.is_isolated is not before

    def _finds_no_upstream(self, now: float) -> bool:
        """Return whether most openings found no upstream and would find none now."""
        if not self.is_isolated:
            self._refused = self._recent_openings.list_refused(now)
        return (
            bool(self._refused)
            and self._are_remote_upstreams_unreachable()
            and not self._can_serve(now)
        )

    def _are_remote_upstreams_unreachable(self) -> bool:
        """Return whether no upstream of another failure domain is usable."""
        return not any(
            upstream.can_open and upstream.entry.domain != self._domain
            for upstream in self._directory.iterate_present()
        )

    def _can_serve(self, now: float) -> bool:
        """Return whether each refused route has an upstream again."""
        routes = (self._directory.find_route(key) for key in self._refused)
        return all(route is None or self._policy.can_serve(route, now) for route in routes)

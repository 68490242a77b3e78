"""Notices that the own failure domain is cut off and can't serve its callers.

The routers send callers to the entries of their own failure domain, and to other ones if none of
those is ready. An entry that reaches no upstream for most openings therefore says that it is not
ready, if entries elsewhere probably reach some: it hears no entry of another failure domain, and
all upstreams there are out of reach from here. Where only upstreams have failed, entries elsewhere
are still heard, and nobody would serve better.
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
"""Share of refused openings from which callers are better served elsewhere. Flows that are open go
on here until then, and move with their callers."""

MAX_RECENT = 256


class _Opening(Struct, frozen=True):
    route: RouteKey
    is_refused: bool
    decided_s: float


class RecentOpenings:
    """Openings of the last moments, and whether an upstream was there for them."""

    def __init__(self) -> None:
        self._recent: deque[_Opening] = deque(maxlen=MAX_RECENT)

    def record(self, route: RouteKey, is_refused: bool, now: float) -> None:
        """Note an opening that was forwarded, or refused for want of an upstream."""
        self._recent.append(_Opening(route, is_refused, now))

    def list_refused(self, now: float) -> set[RouteKey]:
        """Return the routes that were refused, if most openings were; else nothing."""
        while self._recent and now - self._recent[0].decided_s > WINDOW_S:
            self._recent.popleft()
        refused = [opening.route for opening in self._recent if opening.is_refused]
        if len(refused) < max(MIN_REFUSED, len(self._recent) * REFUSED_SHARE):
            return set()
        return set(refused)


class IsolationDetector:
    """Decides whether the callers of this failure domain should go elsewhere.

    :param domain: failure domain of this entry.

    :ivar is_isolated: they should.
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
        """Look at what has changed.

        :returns: True if ``is_isolated`` has changed.
        """
        before = self.is_isolated
        # The silence of the other domains is rare, and costs least to look at.
        self.is_isolated = self._peers.is_partitioned(now) and self._finds_no_upstream(now)
        return self.is_isolated is not before

    def _finds_no_upstream(self, now: float) -> bool:
        """Tell whether most openings found no upstream, and would find none now."""
        if not self.is_isolated:
            self._refused = self._recent_openings.list_refused(now)
        return (
            bool(self._refused)
            and self._are_remote_upstreams_unreachable()
            and not self._can_serve(now)
        )

    def _are_remote_upstreams_unreachable(self) -> bool:
        """Tell whether no upstream of another failure domain may be reached."""
        return not any(
            upstream.can_open and upstream.entry.domain != self._domain
            for upstream in self._directory.iterate_present()
        )

    def _can_serve(self, now: float) -> bool:
        """Tell whether each route that was refused has an upstream again."""
        routes = (self._directory.find_route(key) for key in self._refused)
        return all(route is None or self._policy.can_serve(route, now) for route in routes)

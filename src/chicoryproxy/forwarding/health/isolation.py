"""Detects that the own failure domain is partitioned from the others and can't serve its callers.

The routers send callers to the entries of their own failure domain, or to others if none of these
is ready. An entry that finds no upstream for most openings therefore reports that it is not ready
if entries of other failure domains can probably reach some: it receives no heartbeat from there,
and no upstream there can be reached. If only the upstreams have failed, heartbeats still arrive,
and the other entries would not serve the callers either.

A single entry that reports ready keeps the callers of the whole domain there. One that has no
evidence of its own, because it has just started or gets few openings, therefore believes its peers.
"""

from collections import Counter, deque

from msgspec import Struct

from chicoryproxy.forwarding.balancing.placement import OpeningPolicy
from chicoryproxy.forwarding.model import RouteKey
from chicoryproxy.forwarding.peers.peering import PeerGroup
from chicoryproxy.forwarding.view.directory import Directory
from chicoryproxy.ids import DomainId

WINDOW_S = 5.0
"""Openings of this time show which routes the callers use."""

UNSERVED_SHARE = 0.5
"""Minimum share of openings whose route has no upstream. Below it callers stay, because sending
them elsewhere would also move their open flows."""

ANSWER_VALID_S = 1.0
"""An entry that saw an opening answered this recently does not believe that it can't serve."""

REROUTING_S = 2.0
"""Time in which the routers notice that the entries of a failure domain are not ready."""

MAX_RECENT_OPENINGS = 256


class _Opening(Struct, frozen=True):
    route: RouteKey
    arrived_s: float


class RecentOpenings:
    """Routes of the recent openings, and when one of them was last answered."""

    def __init__(self) -> None:
        self._recent: deque[_Opening] = deque(maxlen=MAX_RECENT_OPENINGS)
        self._answered_s = float("-inf")

    def record(self, route: RouteKey, now: float) -> None:
        """Record an opening."""
        self._recent.append(_Opening(route, now))

    def record_answer(self, now: float) -> None:
        """Record that an upstream answered an opening."""
        self._answered_s = now

    def is_answered(self, now: float) -> bool:
        """Return whether an opening was answered recently."""
        return now - self._answered_s < ANSWER_VALID_S

    def count_routes(self, now: float) -> Counter[RouteKey]:
        """Return the number of recent openings by route."""
        while self._recent and now - self._recent[0].arrived_s > WINDOW_S:
            self._recent.popleft()
        return Counter(opening.route for opening in self._recent)


class IsolationDetector:
    """Decides whether callers should use entries of other failure domains.

    :param domain: failure domain of this entry.

    :ivar is_isolated: True if they should.
    :ivar has_evidence: this entry has found that out by itself.
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
        self.has_evidence = False
        self._domain = domain
        self._directory = directory
        self._peers = peers
        self._policy = policy
        self._recent_openings = recent_openings
        self._routes: Counter[RouteKey] = Counter()
        self._isolated_since_s = float("-inf")

    def tick(self, now: float) -> bool:
        """Update ``is_isolated``.

        :returns: True if ``is_isolated`` has changed.
        """
        before = self.is_isolated
        # Checked first because a partition is rare and the check is the cheapest.
        is_partitioned = self._peers.is_partitioned(now)
        self.has_evidence = is_partitioned and self._finds_no_upstream(now)
        self.is_isolated = self.has_evidence or self._believes_peers(is_partitioned, now)
        if self.is_isolated and not before:
            self._isolated_since_s = now
        return self.is_isolated is not before

    def is_rerouting(self, now: float) -> bool:
        """Return whether retransmissions will soon reach entries that can serve them."""
        return self.is_isolated and now - self._isolated_since_s < REROUTING_S

    def _believes_peers(self, is_partitioned: bool, now: float) -> bool:
        """Return whether the report of a peer agrees with what this entry sees itself."""
        if not self._peers.is_isolation_reported(now) or self._recent_openings.is_answered(now):
            return False
        return is_partitioned or not self._peers.has_heard_other_domain()

    def _finds_no_upstream(self, now: float) -> bool:
        """Return whether most openings would find no upstream now."""
        if not self.has_evidence:
            # Remembered afterwards, because the callers go elsewhere.
            self._routes = self._recent_openings.count_routes(now)
        return (
            bool(self._routes)
            and self._are_remote_upstreams_unreachable()
            and self._count_unserved(now) >= self._routes.total() * UNSERVED_SHARE
        )

    def _are_remote_upstreams_unreachable(self) -> bool:
        """Return whether no upstream of another failure domain is usable."""
        return not any(
            upstream.can_open
            and upstream.entry.domain != self._domain
            and not self._policy.is_domain_avoided(upstream.entry.domain)
            for upstream in self._directory.iterate_present()
        )

    def _count_unserved(self, now: float) -> int:
        """Count the openings whose route has no usable upstream."""
        return sum(count for key, count in self._routes.items() if not self._can_serve(key, now))

    def _can_serve(self, key: RouteKey, now: float) -> bool:
        route = self._directory.find_route(key)
        return route is None or self._policy.can_serve(route, now)

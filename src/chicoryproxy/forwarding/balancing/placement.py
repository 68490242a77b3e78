"""Load balancing: selects the upstream of an opening.

The upstream with the least flows and unanswered requests per slot is selected, counting those of
this entry and the reported ones of its peers. Upstreams of other failure domains have a cost
penalty, so that they are used only if the own failure domain is clearly busier.
"""

from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Iterable, Sequence
from enum import Enum, unique

import xxhash
from msgspec import Struct

from chicoryproxy.forwarding.balancing.coldstart import ColdBudget
from chicoryproxy.forwarding.balancing.performance import Performance
from chicoryproxy.forwarding.balancing.slowstart import SlowStart
from chicoryproxy.forwarding.balancing.trafficsplit import order_services
from chicoryproxy.forwarding.flows import FlowTable
from chicoryproxy.forwarding.health.domainreachability import DomainReachability
from chicoryproxy.forwarding.health.failuredetector import FailureDetector
from chicoryproxy.forwarding.health.unreachablereports import UnreachableReports
from chicoryproxy.forwarding.model import (
    FlowId,
    Route,
    UpstreamPhase,
)
from chicoryproxy.forwarding.view.directory import Directory
from chicoryproxy.forwarding.view.lifetime import Lifetime
from chicoryproxy.ids import DomainId, ServiceId

REMOTE_COST = 0.6
"""Penalty of other failure domains, as load per slot."""

WAITING_WEIGHT = 2.0
"""An unanswered request counts as this many flows."""

OPENING_LOAD = 1.0 + WAITING_WEIGHT
"""Load that an opening adds; without it a slow idle upstream would cost no more than a fast one."""

PEER_WEIGHT = 0.25
"""Weight of reported load where response times are measured: most of it has ended since."""

FAILURE_COST = 1.0
"""Penalty for each failure since the last answer, as load per slot."""

AVOIDED_COST = 2.0
"""Penalty for each unanswered item of a caller that opens another flow, as load per slot."""

DRAIN_MARGIN_S = 1.0
"""Openings at draining upstreams stop this long before the limit, which holds for their arrival."""


class Opening(Struct, frozen=True):
    """Opening that needs an upstream.

    :param tried: upstreams that already got a copy of it.
    :param avoided: upstreams with unanswered items of the caller, which may have failed; one for
        each item.
    """

    route: Route
    flow: FlowId
    tried: Sequence[Lifetime]
    avoided: Sequence[Lifetime]


@unique
class Exclusion(Enum):
    """Why an upstream can't accept an opening."""

    MARK_TAKEN = "eclipsed"
    UNREACHABLE = "unreachable"
    DOMAIN_OUT = "domain_out"
    DRAINING = "draining"
    MISSING = "missing"
    FULL = "full"
    COLD = "cold"


class OpeningPolicy(ABC):
    """Selects upstreams for openings."""

    @abstractmethod
    def choose(self, opening: Opening, now: float) -> Lifetime | None:
        """Select an upstream.

        :returns: ``None`` if no upstream can accept the opening.
        """

    @abstractmethod
    def may_open(self, upstream: Lifetime, route: Route) -> bool:
        """Return whether what is published allows openings of a route at an upstream."""

    @abstractmethod
    def can_serve(self, route: Route, now: float) -> bool:
        """Return whether some upstream of a route can accept an opening."""

    @abstractmethod
    def is_domain_avoided(self, domain: DomainId) -> bool:
        """Return whether openings avoid a failure domain because it is unreachable."""

    @abstractmethod
    def count_exclusions(self, route: Route, now: float) -> Counter[Exclusion]:
        """Count the upstreams of a route that can't accept an opening, by reason."""


class _Candidates:
    """Upstreams of a service that could get an opening, by class.

    :ivar usable: nothing speaks against them.
    :ivar ramping: they get a share of the openings.
    :ivar cold: their published limit allows an opening.
    :ivar reported: peers can't reach them.
    :ivar suspected: they didn't answer this entry, or are in a failure domain that doesn't.
    :ivar fallback: leaving or missing, but perhaps alive.
    """

    __slots__ = ("usable", "ramping", "cold", "reported", "suspected", "fallback")

    def __init__(self) -> None:
        self.usable: list[Lifetime] = []
        self.ramping: list[Lifetime] = []
        self.cold: list[Lifetime] = []
        self.reported: list[Lifetime] = []
        self.suspected: list[Lifetime] = []
        self.fallback: list[Lifetime] = []

    def ignore_reports_on_most(self) -> None:
        """Move the reported upstreams to the class that they belong to.

        Peers that were cut off report all upstreams beyond the cut. Without these, the few others
        would get all openings.
        """
        is_most = len(self.reported) > len(self.usable) + len(self.ramping)
        (self.usable if is_most else self.suspected).extend(self.reported)


class LeastLoadPolicy(OpeningPolicy):
    """Selects by least load per slot, with a preference for the own failure domain.

    :param domain: failure domain of this entry.
    """

    def __init__(
        self,
        domain: DomainId,
        directory: Directory,
        flows: FlowTable,
        failure_detector: FailureDetector,
        cold_budget: ColdBudget,
        domains: DomainReachability,
        reports: UnreachableReports,
        slow_start: SlowStart,
        performance: Performance,
    ) -> None:
        self._domain = domain
        self._directory = directory
        self._flows = flows
        self._failure_detector = failure_detector
        self._cold_budget = cold_budget
        self._domains = domains
        self._reports = reports
        self._slow_start = slow_start
        self._performance = performance

    def choose(self, opening: Opening, now: float) -> Lifetime | None:
        """Select the least loaded upstream of the best non-empty class."""
        for service in order_services(opening.route, opening.flow):
            upstream = self._choose_in_service(service, opening, now)
            if upstream is not None:
                return upstream
        return None

    def may_open(self, upstream: Lifetime, route: Route) -> bool:
        """Return whether what is published allows openings of a route at an upstream."""
        entry = upstream.entry
        is_allowed = any(target.service == entry.service for target in route.targets)
        is_out = self._directory.is_domain_out(entry.domain)
        return is_allowed and upstream.can_open and not is_out

    def can_serve(self, route: Route, now: float) -> bool:
        """Return whether some upstream of a route can accept an opening."""
        return any(
            self._find_exclusion(upstream, now) is None
            and not self.is_domain_avoided(upstream.entry.domain)
            for target in route.targets
            for upstream in self._directory.iterate_service(target.service)
        )

    def is_domain_avoided(self, domain: DomainId) -> bool:
        """Return whether openings avoid a failure domain because it is unreachable."""
        return self._domains.is_unreachable(domain)

    def count_exclusions(self, route: Route, now: float) -> Counter[Exclusion]:
        """Count the upstreams of a route that can't accept an opening, by reason."""
        reasons: Counter[Exclusion] = Counter()
        for target in route.targets:
            for upstream in self._directory.iterate_service(target.service):
                reason = self._find_exclusion(upstream, now)
                if reason is not None:
                    reasons[reason] += 1
        return reasons

    def _choose_in_service(
        self, service: ServiceId, opening: Opening, now: float
    ) -> Lifetime | None:
        found = self._sort(service, opening, now)
        usable = self._list_usable(found, opening, now)
        cold = found.cold + [upstream for upstream in found.ramping if upstream.is_cold(now)]
        for candidates in (usable, cold, found.suspected, found.fallback):
            if candidates:
                return self._choose_least_loaded(candidates, opening)
        return None

    def _sort(self, service: ServiceId, opening: Opening, now: float) -> _Candidates:
        found = _Candidates()
        for upstream in self._directory.iterate_service(service):
            exclusion = self._find_exclusion(upstream, now)
            if exclusion in (Exclusion.DRAINING, Exclusion.MISSING):
                if self._is_fallback(upstream, now):
                    found.fallback.append(upstream)
            elif exclusion is None:
                self._find_class(found, upstream, opening, now).append(upstream)
        found.ignore_reports_on_most()
        return found

    def _find_class(
        self, found: _Candidates, upstream: Lifetime, opening: Opening, now: float
    ) -> list[Lifetime]:
        """Return the class of an upstream that can accept an opening."""
        is_suspected = upstream in opening.tried or self._is_suspected(upstream, now)
        is_reported = self._reports.is_avoided(upstream, now)
        if upstream.is_cold(now) and (is_suspected or is_reported):
            return found.cold
        if is_suspected:
            return found.suspected
        if is_reported:
            return found.reported
        if self._slow_start.is_ramping(upstream):
            return found.ramping
        return found.cold if upstream.is_cold(now) else found.usable

    def _list_usable(self, found: _Candidates, opening: Opening, now: float) -> Sequence[Lifetime]:
        if found.usable:
            return found.usable + self._list_accepted(found.ramping, found.usable, opening)
        usable = [upstream for upstream in found.ramping if not upstream.is_cold(now)]
        if not opening.tried:
            self._slow_start.record_unlimited(usable, now)
        return usable

    def _list_accepted(
        self, ramping: Sequence[Lifetime], usable: Sequence[Lifetime], opening: Opening
    ) -> list[Lifetime]:
        """Return the ramping upstreams that are considered together with the usable ones.

        One of the own failure domain is an alternative to the others there. Unless other domains
        can take the rest of the load, the ramping ones don't count, so that the usable ones are
        not left alone with it.
        """
        near = _count_domain(usable, self._domain)
        has_remote = near < len(usable)
        if has_remote:
            near += _count_domain(ramping, self._domain) - 1
        total = len(usable) + len(ramping) - 1
        return [
            upstream
            for upstream in ramping
            if self._slow_start.accepts(
                upstream, opening.flow, near if upstream.entry.domain == self._domain else total
            )
        ]

    def _find_exclusion(self, upstream: Lifetime, now: float) -> Exclusion | None:
        if upstream.is_mark_taken:
            return Exclusion.MARK_TAKEN
        if upstream.is_unreachable:
            return Exclusion.UNREACHABLE
        if self._directory.is_domain_out(upstream.entry.domain):
            return Exclusion.DOMAIN_OUT
        if upstream.phase is UpstreamPhase.DRAINING:
            return Exclusion.DRAINING
        if not upstream.can_open and not self._directory.may_have_expired(upstream, now):
            return Exclusion.MISSING
        if self._is_full(upstream):
            return Exclusion.FULL
        if upstream.is_cold(now) and not self._may_open_cold(upstream, now):
            return Exclusion.COLD
        return None

    def _is_suspected(self, upstream: Lifetime, now: float) -> bool:
        """Return whether this entry has found that openings should go to other upstreams."""
        return self.is_domain_avoided(upstream.entry.domain) or self._failure_detector.is_suspected(
            upstream, now
        )

    def _is_full(self, upstream: Lifetime) -> bool:
        limits = self._directory.get_limits(upstream.entry.service)
        if limits is None or limits.max_connections <= 0:
            return False
        return self._flows.get_load(upstream).flows >= limits.max_connections

    def _may_open_cold(self, upstream: Lifetime, now: float) -> bool:
        return upstream.entry.domain == self._domain and self._cold_budget.can_open(upstream, now)

    def _is_fallback(self, upstream: Lifetime, now: float) -> bool:
        """Return whether a draining or missing upstream may be used if there is no other one."""
        if upstream.leaving_since_s is None:
            return not upstream.is_cold(now)
        age_s = now - upstream.leaving_since_s
        return age_s < self._directory.bounds.drain_s - DRAIN_MARGIN_S

    def _choose_least_loaded(self, candidates: Iterable[Lifetime], opening: Opening) -> Lifetime:
        best: Lifetime | None = None
        best_cost = (0.0, 0)
        for upstream in candidates:
            # Ties are broken by a hash, so that entries do not all select the same upstream.
            cost = (
                self._compute_cost(upstream, opening),
                xxhash.xxh3_64_intdigest(opening.flow + upstream.mark_bytes),
            )
            if best is None or cost < best_cost:
                best, best_cost = upstream, cost
        assert best is not None
        return best

    def _compute_cost(self, upstream: Lifetime, opening: Opening) -> float:
        cost = self._compute_load(upstream) / upstream.entry.slots
        cost += AVOIDED_COST * opening.avoided.count(upstream)
        cost += FAILURE_COST * self._failure_detector.get_failures(upstream)
        if upstream.entry.domain != self._domain:
            cost += REMOTE_COST
        return cost

    def _compute_load(self, upstream: Lifetime) -> float:
        factor = self._performance.get_factor(upstream)
        if factor is None:
            total = self._flows.get_load(upstream)
            return total.flows + WAITING_WEIGHT * total.waiting
        load = OPENING_LOAD
        own = self._flows.get_own_load(upstream)
        if own is not None:
            load += own.flows + WAITING_WEIGHT * own.waiting
        reported = self._flows.peer_loads.get(upstream.mark)
        if reported is not None:
            load += PEER_WEIGHT * (reported.flows + WAITING_WEIGHT * reported.waiting)
        return load * factor


def _count_domain(upstreams: Iterable[Lifetime], domain: DomainId) -> int:
    return sum(1 for upstream in upstreams if upstream.entry.domain == domain)


def create_opening_policy(
    domain: DomainId,
    directory: Directory,
    flows: FlowTable,
    failure_detector: FailureDetector,
    cold_budget: ColdBudget,
    domains: DomainReachability,
    reports: UnreachableReports,
    slow_start: SlowStart,
    performance: Performance,
) -> OpeningPolicy:
    """Create the policy of an entry."""
    return LeastLoadPolicy(
        domain,
        directory,
        flows,
        failure_detector,
        cold_budget,
        domains,
        reports,
        slow_start,
        performance,
    )

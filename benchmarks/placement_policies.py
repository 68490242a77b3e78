"""Placement policies of the entry and changes of them, for the comparison in ``placement_load``."""

import heapq
import itertools
import math
import random
from collections import deque
from collections.abc import Iterable

from benchmarks.placement_baselines import (
    FANOUT,
    LOSS,
    REPORT_LIMIT,
    SUBSET_SIZE,
    Balancer,
    OwnCounts,
    PerfectKnowledge,
    Reported,
    Scaled,
    Subset,
    TwoChoices,
)
from benchmarks.placement_fleet import (
    DOMAIN_COUNT,
    ROUTE,
    Shape,
    Upstreams,
    create_directory,
    name_domain,
    name_upstream,
)
from chicoryproxy.forwarding.balancing.coldstart import ColdBudget
from chicoryproxy.forwarding.balancing.peerloads import PeerLoads
from chicoryproxy.forwarding.balancing.performance import NoPerformance, create_performance
from chicoryproxy.forwarding.balancing.placement import (
    LeastLoadPolicy,
    Opening,
)
from chicoryproxy.forwarding.balancing.slowstart import NoSlowStart
from chicoryproxy.forwarding.flows import FlowTable
from chicoryproxy.forwarding.health.domainreachability import DomainReachability
from chicoryproxy.forwarding.health.failuredetector import FailureDetector
from chicoryproxy.forwarding.health.unreachablereports import UnreachableReports
from chicoryproxy.forwarding.model import (
    FlowId,
    Mark,
    Revision,
)
from chicoryproxy.forwarding.peers.peermessages import Heartbeat, LoadReport, PeerAddress
from chicoryproxy.forwarding.view.lifetime import Lifetime

AVERAGING_S = 1.0


class Landed(Balancer):
    """The policy of the entry, with the load that its flow table reports."""

    has_performance = False

    def __init__(self, shape: Shape, upstreams: Upstreams, rng: random.Random) -> None:
        super().__init__(shape, upstreams, rng)
        self._directory = create_directory(shape.upstreams)
        present = {item.entry.id: item for item in self._directory.iterate_present()}
        self._lifetimes = [present[name_upstream(item)] for item in range(shape.upstreams)]
        self._numbers = {item.mark: number for number, item in enumerate(self._lifetimes)}
        self._tables = [FlowTable() for _ in range(shape.entries)]
        self._performances = [
            create_performance() if self.has_performance else NoPerformance()
            for _ in range(shape.entries)
        ]
        self._policies = [self._create_policy(number) for number in range(shape.entries)]
        self._flow_numbers = itertools.count()
        self._open: dict[tuple[int, int], deque[FlowId]] = {}

    def choose(self, entry: int, now: float) -> int:
        """Ask the policy of the entry."""
        flow = FlowId(next(self._flow_numbers).to_bytes(12, "little"))
        upstream = self._policies[entry].choose(Opening(ROUTE, flow, (), ()), now)
        assert isinstance(upstream, Lifetime)
        table = self._tables[entry]
        record = table.touch(flow, now)
        table.assign(record, upstream)
        table.start_wait(record, now)
        number = self._numbers[upstream.mark]
        self._open.setdefault((entry, number), deque()).append(flow)
        return number

    def end(self, entry: int, upstream: int, duration_s: float, now: float) -> None:
        """End the flow."""
        flow = self._open[entry, upstream].popleft()
        self._tables[entry].touch(flow, now)
        self._tables[entry].remove(flow)

    def exchange(self, now: float) -> None:
        """Send the heaviest loads of each entry to a few peers."""
        for sender in range(self.shape.entries):
            loads = self.create_report(sender, now)
            loads = heapq.nlargest(REPORT_LIMIT, loads, key=lambda load: load.flows + load.waiting)
            address = PeerAddress(sender + 1, sender % DOMAIN_COUNT)
            heartbeat = Heartbeat(address, Revision(1), 0.0, False, tuple(loads), (), ())
            fanout = min(FANOUT, self.shape.entries)
            for target in self.rng.sample(range(self.shape.entries), fanout):
                if target != sender and self.rng.random() >= LOSS:
                    self._tables[target].peer_loads.handle_heartbeat(heartbeat, now)
            self._tables[sender].peer_loads.expire(now)

    def create_report(self, sender: int, now: float) -> Iterable[LoadReport]:
        """Return the loads that an entry reports."""
        return self._tables[sender].report_loads()

    def _create_policy(self, number: int) -> LeastLoadPolicy:
        directory = self._directory
        return LeastLoadPolicy(
            name_domain(number),
            directory,
            self._tables[number],
            FailureDetector(),
            ColdBudget(directory),
            DomainReachability(directory, number),
            UnreachableReports(),
            NoSlowStart(),
            self._performances[number],
        )


class AverageLoad:
    """Average number of the requests of one entry at one upstream."""

    __slots__ = ("count", "_average", "_averaged_s")

    def __init__(self, now: float) -> None:
        self.count = 0
        self._average = 0.0
        self._averaged_s = now

    def read(self, now: float) -> float:
        """Return the average; to be called before each change of the count, too."""
        share = 1.0 - math.exp((self._averaged_s - now) / AVERAGING_S)
        self._average += (self.count - self._average) * share
        self._averaged_s = now
        return self._average


class PeerLoadsInTenths(PeerLoads):
    """Reports in tenths."""

    def get(self, mark: Mark) -> LoadReport | None:
        """Return the total, as a fraction."""
        load = super().get(mark)
        if load is None:
            return None
        return LoadReport(mark, load.flows / 10, load.waiting / 10)  # type: ignore[arg-type]


class LandedWithAverages(Landed):
    """The policy of the entry with reports of loads averaged over a second, in tenths."""

    def __init__(self, shape: Shape, upstreams: Upstreams, rng: random.Random) -> None:
        super().__init__(shape, upstreams, rng)
        self._averages: list[dict[int, AverageLoad]] = [{} for _ in range(shape.entries)]
        for table in self._tables:
            table.peer_loads = PeerLoadsInTenths()

    def begin(self, entry: int, upstream: int, now: float) -> None:
        """Count the request."""
        self._change(entry, upstream, 1, now)

    def end(self, entry: int, upstream: int, duration_s: float, now: float) -> None:
        """Stop counting the request."""
        super().end(entry, upstream, duration_s, now)
        self._change(entry, upstream, -1, now)

    def create_report(self, sender: int, now: float) -> Iterable[LoadReport]:
        """Return the averages."""
        for upstream, load in self._averages[sender].items():
            tenths = round(load.read(now) * 10)
            if tenths:
                yield LoadReport(self._lifetimes[upstream].mark, tenths, tenths)

    def _change(self, entry: int, upstream: int, number: int, now: float) -> None:
        load = self._averages[entry].setdefault(upstream, AverageLoad(now))
        load.read(now)
        load.count += number


class LandedWithoutReports(Landed):
    """The policy of the entry with its own counts alone."""

    def create_report(self, sender: int, now: float) -> Iterable[LoadReport]:
        """Return nothing."""
        return ()


class ScaledPeerLoads(PeerLoads):
    """Reports scaled from the peers that were heard to all of them."""

    def __init__(self, peers: int) -> None:
        super().__init__()
        self._peers = peers

    def get(self, mark: Mark) -> LoadReport | None:
        """Return the extrapolated load."""
        load = super().get(mark)
        if load is None:
            return None
        factor = self._peers / len(self._reports)
        return LoadReport(mark, round(load.flows * factor), round(load.waiting * factor))


class LandedAndScaled(Landed):
    """The policy of the entry with reports scaled to all entries."""

    def __init__(self, shape: Shape, upstreams: Upstreams, rng: random.Random) -> None:
        super().__init__(shape, upstreams, rng)
        for table in self._tables:
            table.peer_loads = ScaledPeerLoads(shape.entries - 1)


class WithPerformance(Landed):
    """The policy of the entry with response times learned by each entry."""

    has_performance = True

    def end(self, entry: int, upstream: int, duration_s: float, now: float) -> None:
        """Learn the response time."""
        super().end(entry, upstream, duration_s, now)
        self._performances[entry].record_response(self._lifetimes[upstream], duration_s, now)

    def exchange(self, now: float) -> None:
        """Discard what is too old."""
        super().exchange(now)
        for performance in self._performances:
            performance.expire(now)


class PerformanceWithoutReports(WithPerformance, LandedWithoutReports):
    """The policy of the entry with its own counts and response times alone."""


BALANCERS: dict[str, type[Balancer]] = {
    "perfect knowledge": PerfectKnowledge,
    "own counts": OwnCounts,
    "momentary reports": Landed,
    "momentary reports, scaled": LandedAndScaled,
    "averaged reports": LandedWithAverages,
    "no reports": LandedWithoutReports,
    "momentary reports, response times": WithPerformance,
    "no reports, response times": PerformanceWithoutReports,
    "gathered totals": Reported,
    "gathered totals, scaled": Scaled,
    "two choices": TwoChoices,
    f"subset of {SUBSET_SIZE}": Subset,
}

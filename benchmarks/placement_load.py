"""Waiting time at the upstreams of one service when each entry knows a part of the load.

A discrete event simulation without a network. Requests arrive at random entries, each on a flow of
its own, and wait at the chosen upstream for one of its slots. Every entry sends its load to four
peers each 0.4 s, as heartbeats do; one in a hundred is lost.

Run with ``python -m benchmarks.placement_load``.
"""

import argparse
import heapq
import itertools
import math
import random
import statistics
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Iterable

from msgspec import Struct

from chicoryproxy.forwarding.coldstart import ColdBudget
from chicoryproxy.forwarding.directory import Directory
from chicoryproxy.forwarding.domainreachability import DomainReachability
from chicoryproxy.forwarding.failuredetector import FailureDetector
from chicoryproxy.forwarding.flows import REPORT_SCALE, FlowTable
from chicoryproxy.forwarding.lifetime import Lifetime
from chicoryproxy.forwarding.model import (
    Bounds,
    Change,
    FlowId,
    Revision,
    Route,
    RouteKey,
    UpstreamEntry,
    UpstreamListed,
    WeightedService,
)
from chicoryproxy.forwarding.peermessages import Heartbeat, LoadReport, PeerAddress
from chicoryproxy.forwarding.placement import LeastLoadPolicy, Opening
from chicoryproxy.forwarding.replica import get_upstream_key
from chicoryproxy.forwarding.unreachablereports import UnreachableReports
from chicoryproxy.ids import DomainId, ServiceId, UpstreamId
from chicoryproxy.model import Endpoint
from chicoryproxy.rendezvous import score

SLOTS = 2
WORK_S = 0.02
WORK_SPREAD = 0.5
HEARTBEAT_S = 0.4
FANOUT = 4
LOSS = 0.01
REPORT_LIMIT = 28
REPORT_AGE_S = 2.5
SUBSET_SIZE = 12
WARM_UP_S = 3.0
DOMAIN_COUNT = 3
SERVICE = ServiceId("service")
ROUTE = Route("route", RouteKey(1, 443), (WeightedService(SERVICE, 1.0),))


class Shape(Struct, frozen=True):
    """Size and load of a simulated fleet.

    :param load: share of the slots that are busy on average.
    :param is_unequal: a tenth of the entries get half of the requests.
    """

    entries: int
    upstreams: int
    load: float
    is_unequal: bool = False


class Upstreams:
    """Upstreams with slots and a queue in order of arrival."""

    def __init__(self, count: int) -> None:
        self.present = [0] * count
        self.arrivals = [0] * count
        self._queues: list[deque[tuple[float, float, int]]] = [deque() for _ in range(count)]
        self._busy = [0] * count

    def add(self, upstream: int, item: tuple[float, float, int]) -> bool:
        """Add a request (arrival, work, entry); return whether its work begins at once."""
        self.present[upstream] += 1
        self.arrivals[upstream] += 1
        if self._busy[upstream] < SLOTS:
            self._busy[upstream] += 1
            return True
        self._queues[upstream].append(item)
        return False

    def finish(self, upstream: int) -> tuple[float, float, int] | None:
        """Remove a finished request; return the one whose work begins now."""
        self.present[upstream] -= 1
        if self._queues[upstream]:
            return self._queues[upstream].popleft()
        self._busy[upstream] -= 1
        return None


class Balancer(ABC):
    """A placement policy of the whole fleet."""

    def __init__(self, shape: Shape, upstreams: Upstreams, rng: random.Random) -> None:
        self.shape = shape
        self.upstreams = upstreams
        self.rng = rng

    @abstractmethod
    def choose(self, entry: int, now: float) -> int:
        """Choose the upstream of a request at an entry."""

    def begin(self, entry: int, upstream: int, now: float) -> None:  # noqa: B027
        """Record that a request was forwarded."""

    def end(self, entry: int, upstream: int, now: float) -> None:  # noqa: B027
        """Record that a request was answered."""

    def exchange(self, now: float) -> None:  # noqa: B027
        """Send the heartbeats of all entries."""


class PerfectKnowledge(Balancer):
    """Least requests present, known everywhere at once."""

    def choose(self, entry: int, now: float) -> int:
        """Choose the upstream with the least requests."""
        return choose_least(self.upstreams.present, range(self.shape.upstreams), self.rng)


class OwnCounts(Balancer):
    """Least requests of this entry alone."""

    def __init__(self, shape: Shape, upstreams: Upstreams, rng: random.Random) -> None:
        super().__init__(shape, upstreams, rng)
        self.own = [[0] * shape.upstreams for _ in range(shape.entries)]

    def choose(self, entry: int, now: float) -> int:
        """Choose among all upstreams."""
        return choose_least(self.own[entry], self.candidates(entry), self.rng)

    def candidates(self, entry: int) -> "range | list[int]":
        """Return the upstreams that an entry may choose."""
        return range(self.shape.upstreams)

    def begin(self, entry: int, upstream: int, now: float) -> None:
        """Count the request."""
        self.own[entry][upstream] += 1

    def end(self, entry: int, upstream: int, now: float) -> None:
        """Stop counting the request."""
        self.own[entry][upstream] -= 1


class Subset(OwnCounts):
    """Own counts over a subset of the upstreams, by rendezvous hashing."""

    def __init__(self, shape: Shape, upstreams: Upstreams, rng: random.Random) -> None:
        super().__init__(shape, upstreams, rng)
        names = [str(number) for number in range(shape.upstreams)]
        self._subsets = [
            sorted(range(shape.upstreams), key=lambda item: score(f"entry/{entry}", names[item]))[
                :SUBSET_SIZE
            ]
            for entry in range(shape.entries)
        ]

    def candidates(self, entry: int) -> "range | list[int]":
        """Return the subset of an entry."""
        return self._subsets[entry]


class Reported(OwnCounts):
    """Own counts and those of the reports that were heard recently."""

    def __init__(self, shape: Shape, upstreams: Upstreams, rng: random.Random) -> None:
        super().__init__(shape, upstreams, rng)
        self.heard: list[dict[int, tuple[float, list[tuple[int, int]]]]] = [
            {} for _ in range(shape.entries)
        ]
        self.totals = [[0] * shape.upstreams for _ in range(shape.entries)]

    def choose(self, entry: int, now: float) -> int:
        """Choose the upstream with the least known requests."""
        loads = [self.estimate(entry, item) for item in range(self.shape.upstreams)]
        return choose_least(loads, range(self.shape.upstreams), self.rng)

    def estimate(self, entry: int, upstream: int) -> float:
        """Return the load of an upstream as an entry sees it."""
        return self.own[entry][upstream] + self.totals[entry][upstream]

    def exchange(self, now: float) -> None:
        """Send the heaviest loads of each entry to a few peers."""
        for sender in range(self.shape.entries):
            report = [(item, load) for item, load in enumerate(self.own[sender]) if load]
            report.sort(key=lambda item: -item[1])
            for target in self.rng.sample(
                range(self.shape.entries), min(FANOUT, self.shape.entries)
            ):
                if target != sender and self.rng.random() >= LOSS:
                    self._receive(target, sender, report[:REPORT_LIMIT], now)
            self._expire(sender, now)

    def _receive(self, target: int, sender: int, report: list[tuple[int, int]], now: float) -> None:
        self._forget(target, sender)
        self.heard[target][sender] = (now, report)
        for upstream, load in report:
            self.totals[target][upstream] += load

    def _forget(self, target: int, sender: int) -> None:
        _, report = self.heard[target].pop(sender, (0.0, []))
        for upstream, load in report:
            self.totals[target][upstream] -= load

    def _expire(self, target: int, now: float) -> None:
        for sender, (heard_s, _) in list(self.heard[target].items()):
            if now - heard_s > REPORT_AGE_S:
                self._forget(target, sender)


class Scaled(Reported):
    """Reports scaled from the entries that were heard to all."""

    def estimate(self, entry: int, upstream: int) -> float:
        """Return own load and the extrapolated load of the others."""
        heard = len(self.heard[entry])
        factor = (self.shape.entries - 1) / heard if heard else 0.0
        return self.own[entry][upstream] + factor * self.totals[entry][upstream]


class TwoChoices(Reported):
    """The less loaded of two random upstreams, by own counts and reports."""

    def choose(self, entry: int, now: float) -> int:
        """Draw two upstreams and compare them."""
        pair = self.rng.sample(range(self.shape.upstreams), min(2, self.shape.upstreams))
        return min(pair, key=lambda item: self.estimate(entry, item))


class Landed(Balancer):
    """The policy of the entry, with the load that its flow table reports."""

    def __init__(self, shape: Shape, upstreams: Upstreams, rng: random.Random) -> None:
        super().__init__(shape, upstreams, rng)
        self._directory = create_directory(shape.upstreams)
        present = {item.entry.id: item for item in self._directory.iterate_present()}
        self._lifetimes = [present[name_upstream(item)] for item in range(shape.upstreams)]
        self._numbers = {item.mark: number for number, item in enumerate(self._lifetimes)}
        self._tables = [FlowTable() for _ in range(shape.entries)]
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

    def end(self, entry: int, upstream: int, now: float) -> None:
        """End the flow."""
        flow = self._open[entry, upstream].popleft()
        self._tables[entry].touch(flow, now)
        self._tables[entry].remove(flow)

    def exchange(self, now: float) -> None:
        """Send the heaviest loads of each entry to a few peers."""
        for sender in range(self.shape.entries):
            loads = self.create_report(self._tables[sender], now)
            loads = heapq.nlargest(REPORT_LIMIT, loads, key=lambda load: load.flows + load.waiting)
            address = PeerAddress(sender + 1, sender % DOMAIN_COUNT)
            heartbeat = Heartbeat(address, Revision(1), 0.0, False, tuple(loads), (), ())
            fanout = min(FANOUT, self.shape.entries)
            for target in self.rng.sample(range(self.shape.entries), fanout):
                if target != sender and self.rng.random() >= LOSS:
                    self._tables[target].peer_loads.handle_heartbeat(heartbeat, now)
            self._tables[sender].peer_loads.expire(now)

    def create_report(self, table: FlowTable, now: float) -> Iterable[LoadReport]:
        """Return the loads that an entry reports."""
        return table.report_loads(now)

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
        )


class LandedWithSnapshots(Landed):
    """The policy of the entry with reports of momentary loads."""

    def create_report(self, table: FlowTable, now: float) -> Iterable[LoadReport]:
        """Return the momentary loads."""
        return [
            LoadReport(upstream.mark, load.flows * REPORT_SCALE, load.waiting * REPORT_SCALE)
            for upstream, load in table._loads.items()
            if load.flows
        ]


class LandedWithoutReports(Landed):
    """The policy of the entry with its own counts alone."""

    def create_report(self, table: FlowTable, now: float) -> Iterable[LoadReport]:
        """Return nothing."""
        return ()


BALANCERS: dict[str, type[Balancer]] = {
    "perfect knowledge": PerfectKnowledge,
    "own counts": OwnCounts,
    "the entry's policy": Landed,
    "the same, momentary loads": LandedWithSnapshots,
    "the same, no reports": LandedWithoutReports,
    "momentary loads, no domains": Reported,
    "the same, scaled to all entries": Scaled,
    "two choices": TwoChoices,
    f"own counts, subset of {SUBSET_SIZE}": Subset,
}


def name_upstream(number: int) -> UpstreamId:
    """Return the id of an upstream."""
    return UpstreamId(f"i-{number:04x}")


def name_domain(number: int) -> DomainId:
    """Return the failure domain of an entry or upstream."""
    return DomainId(f"domain-{number % DOMAIN_COUNT}")


def create_directory(upstreams: int) -> Directory:
    """Create a directory of warm upstreams, spread over the failure domains."""
    directory = Directory(Bounds())
    for number in range(upstreams):
        entry = UpstreamEntry(
            name_upstream(number),
            number,
            SERVICE,
            Endpoint(f"10.0.{number // 250}.{number % 250 + 1}", 80),
            name_domain(number),
            SLOTS,
            False,
            0.0,
            1,
        )
        change = Change(get_upstream_key(entry.id), Revision(number + 1), UpstreamListed(entry))
        directory.apply(change, 0.0)
    return directory


def choose_least(
    loads: list[int] | list[float], candidates: "range | list[int]", rng: random.Random
) -> int:
    """Return a candidate with the least load, at random among equals."""
    least = min(loads[item] for item in candidates)
    return rng.choice([item for item in candidates if loads[item] <= least])


def simulate(kind: type[Balancer], shape: Shape, seconds: float, seed: int) -> tuple[float, ...]:
    """Simulate a fleet.

    :returns: mean and 99th percentile of the waiting time in milliseconds, and the arrivals at the
        busiest upstream over the mean.
    """
    rng = random.Random(seed)
    upstreams = Upstreams(shape.upstreams)
    balancer = kind(shape, upstreams, rng)
    rate = shape.load * shape.upstreams * SLOTS / WORK_S
    events: list[tuple[float, int, int, int, float]] = []
    numbers = itertools.count()
    waits: list[float] = []
    now, next_exchange_s = 0.0, 0.0
    next_arrival_s = rng.expovariate(rate)
    while now < WARM_UP_S + seconds:
        now = min(next_arrival_s, next_exchange_s, events[0][0] if events else math.inf)
        if now == next_exchange_s:
            balancer.exchange(now)
            next_exchange_s += HEARTBEAT_S
        elif now == next_arrival_s:
            next_arrival_s = now + rng.expovariate(rate)
            entry = choose_entry(shape, rng)
            upstream = balancer.choose(entry, now)
            balancer.begin(entry, upstream, now)
            work_s = WORK_S * rng.lognormvariate(-(WORK_SPREAD**2) / 2, WORK_SPREAD)
            if upstreams.add(upstream, (now, work_s, entry)):
                waits.append(0.0)
                heapq.heappush(events, (now + work_s, next(numbers), upstream, entry, now))
        else:
            _, _, upstream, entry, _ = heapq.heappop(events)
            balancer.end(entry, upstream, now)
            started = upstreams.finish(upstream)
            if started is not None:
                arrived_s, work_s, other = started
                waits.append(now - arrived_s)
                heapq.heappush(events, (now + work_s, next(numbers), upstream, other, now))
    waits = waits[int(len(waits) * WARM_UP_S / (WARM_UP_S + seconds)) :]
    waits.sort()
    busiest = max(upstreams.arrivals) / statistics.mean(upstreams.arrivals)
    return statistics.mean(waits) * 1000, waits[int(len(waits) * 0.99)] * 1000, busiest


def choose_entry(shape: Shape, rng: random.Random) -> int:
    """Return the entry at which a request arrives."""
    if shape.is_unequal and rng.random() < 0.5:
        return rng.randrange(max(1, shape.entries // 10))
    return rng.randrange(shape.entries)


FLEETS = ((6, 7), (30, 40), (100, 75), (195, 117), (300, 180), (4100, 20))
LOADS = (0.5, 0.7, 0.85)


def main() -> None:
    """Print a table row for each fleet and policy."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--unequal", action="store_true")
    options = parser.parse_args()
    print("| entries, upstreams | load | policy | mean wait ms | p99 ms | busiest/mean |")
    print("|---|---:|---|---:|---:|---:|")
    for (entries, upstreams), load in itertools.product(FLEETS, LOADS):
        shape = Shape(entries, upstreams, load, options.unequal)
        for name, kind in BALANCERS.items():
            mean, high, busiest = simulate(kind, shape, options.seconds, options.seed)
            print(
                f"| {entries}, {upstreams} | {load} | {name} "
                f"| {mean:.2f} | {high:.1f} | {busiest:.2f} |",
                flush=True,
            )


if __name__ == "__main__":
    main()

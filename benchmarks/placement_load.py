"""Response time of the upstreams of one service when each entry knows a part of the load.

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
from concurrent.futures import ProcessPoolExecutor

from msgspec import Struct

from benchmarks.placement_baselines import Balancer
from benchmarks.placement_fleet import DOMAIN_COUNT, LATENCY_TARGET_S, Request, Shape, Upstreams
from benchmarks.placement_policies import BALANCERS

HEARTBEAT_S = 0.4
WARM_UP_S = 3.0
FLEETS = {6: 7, 30: 40, 64: 60, 100: 75, 195: 117, 300: 180, 4100: 20}
"""Upstreams of a fleet by the number of its entries."""

LOADS = (0.5, 0.7, 0.85)
MAX_PROCESSES = 3


class Result(Struct, frozen=True):
    """Response times of one run.

    :param mean_s: mean time from arrival to response.
    :param high_s: 99th percentile of it.
    :param late: share of the requests that took longer than ``LATENCY_TARGET_S``.
    :param remote: share that went to another failure domain.
    :param busiest: arrivals at the busiest upstream over the mean.
    """

    mean_s: float
    high_s: float
    late: float
    remote: float
    busiest: float


class Simulation:
    """Runs a fleet event by event."""

    def __init__(self, kind: type[Balancer], shape: Shape, seed: int) -> None:
        self._rng = random.Random(seed)
        self._shape = shape
        self._upstreams = Upstreams(shape.upstreams)
        self._balancer = kind(shape, self._upstreams, self._rng)
        self._finishes: list[tuple[float, int, Request]] = []
        self._numbers = itertools.count()
        self._durations: list[float] = []
        self._remote = 0

    def run(self, seconds: float) -> Result:
        """Run for a time after the warm-up."""
        rate = self._shape.compute_rate()
        now, next_exchange_s = 0.0, 0.0
        next_arrival_s = self._rng.expovariate(rate)
        while now < WARM_UP_S + seconds:
            next_finish_s = self._finishes[0][0] if self._finishes else math.inf
            now = min(next_arrival_s, next_exchange_s, next_finish_s)
            if now == next_exchange_s:
                self._balancer.exchange(now)
                next_exchange_s += HEARTBEAT_S
            elif now == next_arrival_s:
                next_arrival_s = now + self._rng.expovariate(rate)
                self._arrive(now)
            else:
                self._finish(now)
        return self._compute_result()

    def _arrive(self, now: float) -> None:
        entry = self._shape.choose_entry(now, self._rng)
        upstream = self._balancer.choose(entry, now)
        self._balancer.begin(entry, upstream, now)
        request = Request(entry, upstream, now)
        if self._upstreams.add(request):
            self._start(request, now)

    def _start(self, request: Request, now: float) -> None:
        work_s = self._shape.draw_work(request.upstream, self._rng)
        heapq.heappush(self._finishes, (now + work_s, next(self._numbers), request))

    def _finish(self, now: float) -> None:
        _, _, request = heapq.heappop(self._finishes)
        duration_s = now - request.arrived_s
        self._balancer.end(request.entry, request.upstream, duration_s, now)
        if request.arrived_s >= WARM_UP_S:
            self._durations.append(duration_s)
            self._remote += (request.entry - request.upstream) % DOMAIN_COUNT != 0
        started = self._upstreams.finish(request.upstream)
        if started is not None:
            self._start(started, now)

    def _compute_result(self) -> Result:
        durations = sorted(self._durations)
        arrivals = self._upstreams.arrivals
        return Result(
            statistics.mean(durations),
            durations[int(len(durations) * 0.99)],
            sum(item > LATENCY_TARGET_S for item in durations) / len(durations),
            self._remote / len(durations),
            max(arrivals) / statistics.mean(arrivals),
        )


def simulate(name: str, shape: Shape, seconds: float, seed: int) -> Result:
    """Simulate a fleet with the policy of a name."""
    return Simulation(BALANCERS[name], shape, seed).run(seconds)


def create_parser() -> argparse.ArgumentParser:
    """Create the parser of the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--fleets", type=int, nargs="+", default=list(FLEETS))
    parser.add_argument("--loads", type=float, nargs="+", default=list(LOADS))
    parser.add_argument("--policies", nargs="+", default=list(BALANCERS))
    parser.add_argument("--unequal", action="store_true", help="entries get unequal shares")
    parser.add_argument("--swing", action="store_true", help="demand swings between domains")
    parser.add_argument("--speeds", action="store_true", help="upstreams differ in speed")
    parser.add_argument("--tail", type=float, default=0.0, help="share of long requests")
    return parser


def main() -> None:
    """Print a table row for each fleet and policy."""
    options = create_parser().parse_args()
    shapes = [
        Shape(
            entries,
            FLEETS[entries],
            load,
            options.unequal,
            options.swing,
            options.speeds,
            options.tail,
        )
        for entries, load in itertools.product(options.fleets, options.loads)
    ]
    print("| entries, upstreams | load | policy | mean ms | p99 ms | late % | remote % | busiest |")
    print("|---|---:|---|---:|---:|---:|---:|---:|")
    with ProcessPoolExecutor(MAX_PROCESSES) as pool:
        runs = [
            (shape, name, pool.submit(simulate, name, shape, options.seconds, options.seed))
            for shape in shapes
            for name in options.policies
        ]
        for shape, name, run in runs:
            result = run.result()
            print(
                f"| {shape.entries}, {shape.upstreams} | {shape.load} | {name} "
                f"| {result.mean_s * 1000:.1f} | {result.high_s * 1000:.0f} "
                f"| {result.late * 100:.2f} | {result.remote * 100:.0f} | {result.busiest:.2f} |",
                flush=True,
            )


if __name__ == "__main__":
    main()

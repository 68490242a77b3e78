"""Opening rate at a cold upstream compared with its capacity, with every entry under load.

``python -m benchmarks.openings`` adds an upstream that stays cold to a service under load and
prints the most openings that it received in any second, for each core and seed.
"""

import argparse
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor

import msgspec
from msgspec import Struct

from benchmarks.changecases import Trial
from benchmarks.changefleet import CoreKind
from benchmarks.changes import FLOWS, MAX_PROCESSES
from chicoryproxy.model import WarmUp
from chicoryproxy.testing import FlowOutcome, change_upstreams, create_upstream

CAPACITIES_PER_S = (5.0, 20.0, 60.0)
DURATION_S = 45.0


class OpeningsRow(Struct, frozen=True):
    """Results of one run.

    :param capacity_per_s: openings per second that the upstream can accept.
    :param peak: most openings that it received in any second.
    :param overloads: openings that exceeded its capacity.
    :param opening_count: openings that it received in total.
    """

    kind: CoreKind
    seed: int
    capacity_per_s: float
    peak: int
    overloads: int
    opening_count: int
    broken: int
    refused: int


def measure(kind: CoreKind, seed: int, capacity_per_s: float, flows: int) -> OpeningsRow:
    """Add an upstream whose warm-up never raises its rate, and count its openings."""
    trial = Trial(kind, seed, flows)
    service = trial.service
    cold = msgspec.structs.replace(
        create_upstream("qa-desk", 1, 7, service.upstreams[1].domain),
        warm_up=WarmUp(capacity_per_s, capacity_per_s, 3600.0),
    )
    fleet = trial.fleet
    upstreams = (*service.upstreams, cold)
    fleet.publish(change_upstreams(fleet.platform.served, service.id, upstreams))
    fake_upstream = fleet.upstreams[cold.id]
    fake_upstream.max_openings_per_s = capacity_per_s
    fleet.run(DURATION_S - fleet.now)
    counts = fleet.count()
    return OpeningsRow(
        kind,
        seed,
        capacity_per_s,
        fake_upstream.peak_openings,
        fake_upstream.overloads,
        fake_upstream.accepted,
        counts[FlowOutcome.BROKEN],
        counts[FlowOutcome.REFUSED] + counts[FlowOutcome.UNANSWERED],
    )


def run_all(seeds: Sequence[int], flows: int) -> list[OpeningsRow]:
    """Run each core with each rate and seed, at most ``MAX_PROCESSES`` at a time."""
    with ProcessPoolExecutor(MAX_PROCESSES) as pool:
        runs = [
            pool.submit(measure, kind, seed, capacity_per_s, flows)
            for kind in (CoreKind.CHICORY, CoreKind.HASHING)
            for capacity_per_s in CAPACITIES_PER_S
            for seed in seeds
        ]
        return [run.result() for run in runs]


def print_rows(rows: Sequence[OpeningsRow]) -> None:
    """Print the results as a Markdown table."""
    print("| core | seed | bears/s | most in 1 s | above | openings | broken | refused |")
    print("|---|---:|---:|---:|---:|---:|---:|---:|")
    for row in rows:
        print(
            f"| {row.kind.value} | {row.seed} | {row.capacity_per_s:.0f} | {row.peak} "
            f"| {row.overloads} | {row.opening_count} | {row.broken} | {row.refused} |"
        )


def main() -> None:
    """Run all cores, rates and seeds and print the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, nargs="+", default=[1, 2, 3])
    parser.add_argument("--flows", type=int, default=FLOWS)
    options = parser.parse_args()
    print_rows(run_all(options.seeds, options.flows))


if __name__ == "__main__":
    main()

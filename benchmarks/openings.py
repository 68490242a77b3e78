"""Opening rate at a cold upstream against what it bears, with every entry under load at once.

``python -m benchmarks.openings`` adds an upstream that stays cold to a loaded service and prints
the most openings that it got in any second, for each core and seed.
"""

import argparse
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor

import msgspec
from msgspec import Struct

from benchmarks.changes import FLOWS, MAX_PROCESSES, CoreKind, Trial
from chicoryproxy.model import WarmUp
from chicoryproxy.testing import FlowOutcome, change_upstreams, create_upstream

RATES = (5.0, 20.0, 60.0)
END_S = 45.0


class OpeningsRow(Struct, frozen=True):
    """What one run gave.

    :param max_openings_per_s: openings that the upstream bears in a second.
    :param most: most openings that it got in any second.
    :param overloads: openings that came above what it bears.
    :param total: openings that it got.
    """

    kind: CoreKind
    seed: int
    max_openings_per_s: float
    most: int
    overloads: int
    total: int
    broken: int
    refused: int


def measure(kind: CoreKind, seed: int, max_openings_per_s: float, flows: int) -> OpeningsRow:
    """Add an upstream that stays at its cold rate."""
    trial = Trial(kind, seed, flows)
    service = trial.service
    cold = msgspec.structs.replace(
        create_upstream("qa-desk", 1, 7, service.upstreams[1].domain),
        warm_up=WarmUp(max_openings_per_s, max_openings_per_s, 3600.0),
    )
    fleet = trial.fleet
    upstreams = (*service.upstreams, cold)
    fleet.publish(change_upstreams(fleet.platform.served, service.id, upstreams))
    fake = fleet.upstreams[cold.id]
    fake.max_openings_per_s = max_openings_per_s
    fleet.run(END_S - fleet.now)
    counts = fleet.count()
    return OpeningsRow(
        kind,
        seed,
        max_openings_per_s,
        fake.peak_openings,
        fake.overloads,
        fake.accepted,
        counts[FlowOutcome.BROKEN],
        counts[FlowOutcome.REFUSED] + counts[FlowOutcome.UNANSWERED],
    )


def run_all(seeds: Sequence[int], flows: int) -> list[OpeningsRow]:
    """Run each core with each rate and seed, at most ``MAX_PROCESSES`` at a time."""
    with ProcessPoolExecutor(MAX_PROCESSES) as pool:
        runs = [
            pool.submit(measure, kind, seed, max_openings_per_s, flows)
            for kind in (CoreKind.CHICORY, CoreKind.HASHING)
            for max_openings_per_s in RATES
            for seed in seeds
        ]
        return [run.result() for run in runs]


def print_rows(rows: Sequence[OpeningsRow]) -> None:
    """Print the rows as a table in Markdown."""
    print("| core | seed | bears/s | most in 1 s | above | openings | broken | refused |")
    print("|---|---:|---:|---:|---:|---:|---:|---:|")
    for row in rows:
        print(
            f"| {row.kind.value} | {row.seed} | {row.max_openings_per_s:.0f} | {row.most} "
            f"| {row.overloads} | {row.total} | {row.broken} | {row.refused} |"
        )


def main() -> None:
    """Run and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, nargs="+", default=[1, 2, 3])
    parser.add_argument("--flows", type=int, default=FLOWS)
    options = parser.parse_args()
    print_rows(run_all(options.seeds, options.flows))


if __name__ == "__main__":
    main()

"""Planned changes and failures under load, compared with two baseline packet cores.

All cores run in the same simulated fleet with the same seeds. ``python -m benchmarks.changes`` runs
every case with every core and seed in a pool of processes and prints a Markdown table. ``--cases``,
``--cores``, ``--seeds`` and ``--flows`` select a part of the runs.
"""

import argparse
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from statistics import fmean

from msgspec import Struct

from benchmarks.changecases import CASES, CHANGE_AFTER_S, LOAD_S, SETTLE_S, Trial
from benchmarks.changefleet import INSTANCES, CoreKind
from chicoryproxy.testing import FakeFlow, FlowOutcome

FLOWS = 20_000
MAX_PROCESSES = 4
DURATION_AFTER_SETTLE_S = 45.0
UNFINISHED_OUTCOMES = (FlowOutcome.UNANSWERED, FlowOutcome.OPENING, FlowOutcome.ESTABLISHED)


class ChangeRow(Struct, frozen=True):
    """Results of one run.

    :param broken: broken flows, except those that operators gave up.
    :param unfinished: flows that are unanswered, opening or still established.
    :param imbalance: most openings at an upstream divided by the mean, over the unchanged
        upstreams.
    :param passed: share of the callers' packets that an entry passed to another one.
    :param control_start: control bytes per second and instance from the start to the change.
    :param control: the same from the change until the last openings.
    :param control_peak: most control bytes of an instance in one second after the change.
    :param configuration_bytes: bytes of configurations per second and instance over the whole run.
    :param peak_openings_at_changed: most openings in one second at a changed upstream.
    """

    case: str
    kind: CoreKind
    seed: int
    broken: int
    given_up: int
    refused: int
    unfinished: int
    imbalance: float
    passed: float
    control_start: float
    control: float
    control_peak: int
    configuration_bytes: float
    peak_openings_at_changed: int
    misrouted_segments: int


def run_case(case: str, kind: CoreKind, seed: int, flows: int) -> ChangeRow:
    """Run a case with a packet core and a seed."""
    trial = Trial(kind, seed, flows)
    fleet = trial.fleet
    CASES[case](trial)
    fleet.run(max(0.0, SETTLE_S + DURATION_AFTER_SETTLE_S - fleet.now))
    given_up_flows = _list_given_up_flows(trial)
    counts = fleet.count(set(fleet.flows) - set(given_up_flows))
    change_s = SETTLE_S + CHANGE_AFTER_S
    return ChangeRow(
        case=case,
        kind=kind,
        seed=seed,
        broken=counts[FlowOutcome.BROKEN],
        given_up=len(given_up_flows),
        refused=counts[FlowOutcome.REFUSED],
        unfinished=sum(counts[outcome] for outcome in UNFINISHED_OUTCOMES),
        imbalance=_compute_imbalance(trial),
        passed=sum(node.passed for node in fleet.nodes.values()) / fleet.received_packets,
        control_start=fleet.control_bytes_per_s(0.0, change_s),
        control=fleet.control_bytes_per_s(change_s, SETTLE_S + LOAD_S),
        control_peak=fleet.peak_control_bytes(change_s),
        configuration_bytes=fleet.configuration_bytes / fleet.now / INSTANCES,
        peak_openings_at_changed=max(
            (fleet.upstreams[name].peak_openings for name in trial.changed), default=0
        ),
        misrouted_segments=fleet.misrouted_segments,
    )


def _list_given_up_flows(trial: Trial) -> list[FakeFlow]:
    return [
        flow
        for flow in trial.fleet.flows
        if flow.accepted_by in trial.given_up_upstreams
        and flow.opened_at < trial.given_up_before_s
        and flow.outcome is not FlowOutcome.DONE
    ]


def _compute_imbalance(trial: Trial) -> float:
    """Return the most openings at an unchanged upstream, divided by their mean."""
    counts = [
        trial.fleet.upstreams[item.id].accepted
        for item in trial.service.upstreams
        if item.id not in trial.changed
    ]
    return max(counts) * len(counts) / sum(counts)


def run_all(
    cases: Sequence[str], kinds: Sequence[CoreKind], seeds: Sequence[int], flows: int
) -> list[ChangeRow]:
    """Run every case with every core and seed, at most ``MAX_PROCESSES`` at a time."""
    with ProcessPoolExecutor(MAX_PROCESSES) as pool:
        runs = [
            pool.submit(run_case, case, kind, seed, flows)
            for case in cases
            for kind in kinds
            for seed in seeds
        ]
        return [run.result() for run in runs]


def print_rows(rows: Sequence[ChangeRow]) -> None:
    """Print a table row for each case and core, aggregated over the seeds."""
    print(
        "| case | core | seeds | broken | given up | refused | not ended | max/mean | hop "
        "| start B/s | change B/s | peak B in 1 s | versions B/s | most openings/s |"
    )
    print("|---|---|---|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|")
    groups: dict[tuple[str, CoreKind], list[ChangeRow]] = {}
    for row in rows:
        groups.setdefault((row.case, row.kind), []).append(row)
    for group in groups.values():
        print(_format_group(group))
    wrong = sum(row.misrouted_segments for row in rows)
    print(f"\nPackets at an upstream of another service, all runs: {wrong}.")


def _format_group(group: Sequence[ChangeRow]) -> str:
    """Return the table row of one case and core."""
    seeds = ",".join(str(row.seed) for row in group)
    broken = "+".join(str(row.broken) for row in group)
    return (
        f"| {group[0].case} | {group[0].kind.value} | {seeds} | {broken} "
        f"| {sum(row.given_up for row in group)} | {sum(row.refused for row in group)} "
        f"| {sum(row.unfinished for row in group)} "
        f"| {max(row.imbalance for row in group):.3f} "
        f"| {fmean(row.passed for row in group):.2%} "
        f"| {fmean(row.control_start for row in group):.0f} "
        f"| {fmean(row.control for row in group):.0f} "
        f"| {max(row.control_peak for row in group)} "
        f"| {fmean(row.configuration_bytes for row in group):.0f} "
        f"| {max(row.peak_openings_at_changed for row in group)} |"
    )


def main() -> None:
    """Run the selected cases and print the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--cases", nargs="+", default=list(CASES), choices=list(CASES))
    names = [kind.value for kind in CoreKind]
    parser.add_argument("--cores", nargs="+", default=names, choices=names)
    parser.add_argument("--seeds", type=int, nargs="+", default=[1, 2, 3])
    parser.add_argument("--flows", type=int, default=FLOWS)
    options = parser.parse_args()
    kinds = [CoreKind(name) for name in options.cores]
    print_rows(run_all(options.cases, kinds, options.seeds, options.flows))


if __name__ == "__main__":
    main()

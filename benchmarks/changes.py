"""Planned changes and failures under load, against two baselines in the same fakes and seeds.

``python -m benchmarks.changes`` runs every case with every core and seed, each in a process of its
own, and prints a table in Markdown. ``--cases``, ``--cores``, ``--seeds`` and ``--flows`` choose.
"""

import argparse
from collections import Counter
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from enum import Enum, unique

import msgspec
from msgspec import Struct

from benchmarks.baselines import HashingCore, TrackingCore
from chicoryproxy.ids import DomainId, InstanceId, UpstreamId
from chicoryproxy.model import Instance, Service, Upstream
from chicoryproxy.network import codec
from chicoryproxy.protocol.actions import ControlAction, SendToPeer, SendToView, UpdateEntry
from chicoryproxy.protocol.messages import PassedPacket, VersionBody
from chicoryproxy.states import DomainState
from chicoryproxy.testing import (
    FakeFleet,
    FlowOutcome,
    change_upstreams,
    create_instances,
    create_tenggara,
    create_upstream,
    set_domain,
)
from chicoryproxy.testing._fakefleet import FakeNode

INSTANCES = 7
FLOWS = 20_000
MAX_PROCESSES = 4
START_S = 4.0
OPENINGS_S = 24.0
CHANGE_S = 8.0
ROUNDS = 3
INTERVAL_S = 2.5
END_S = 45.0
IN_FORCE_S = 8.0
DELAY_S = 5.0
PAUSE_S = 5.0
HEADERS_BYTES = 28
SEAL_BYTES = 44
SUBJECT = InstanceId("entry-3")
DOMAIN = DomainId("port-klang")


@unique
class CoreKind(Enum):
    """Which packet core the instances run."""

    CHICORY = "chicoryproxy"
    HASHING = "hashing"
    TRACKING = "tracking"


class ChangeFleet(FakeFleet):
    """A fleet with a choice of core, whose messages are counted.

    :ivar entered: packets that entries took from the fabric.
    :ivar late_versions: instance that gets configurations ``DELAY_S`` late.
    :ivar late_views: instance whose entry gets its view ``DELAY_S`` late.
    :ivar sent: control bytes without configurations, by instance and second.
    :ivar versions: bytes of configurations that instances sent each other.
    """

    kind = CoreKind.CHICORY

    def start_node(self, instance: Instance, in_fabric: bool = True) -> FakeNode:
        """Start an instance with the chosen core."""
        node = super().start_node(instance, in_fabric)
        if self.kind is CoreKind.HASHING:
            node.core = HashingCore()  # type: ignore[assignment]
        elif self.kind is CoreKind.TRACKING:
            node.core = TrackingCore()  # type: ignore[assignment]
        return node

    def prepare(self) -> None:
        """Begin to count."""
        self.entered = 0
        self.late_versions: InstanceId | None = None
        self.late_views: InstanceId | None = None
        self.sent: Counter[tuple[InstanceId, int]] = Counter()
        self.versions = 0
        self.on_message = self._count_message

    def _count_message(self, sender: InstanceId, action: SendToPeer | SendToView) -> None:
        if isinstance(action.message, PassedPacket):
            return
        size = HEADERS_BYTES + SEAL_BYTES + len(codec.encode(action.message))
        if isinstance(action.message, VersionBody):
            self.versions += size
        else:
            self.sent[sender, int(self.now)] += size

    def measure_control(self, since_s: float, until_s: float) -> float:
        """Return the control bytes per second and instance in a time."""
        sent = sum(size for (_, second), size in self.sent.items() if since_s <= second < until_s)
        return sent / (until_s - since_s) / INSTANCES

    def measure_peak(self, since_s: float) -> int:
        """Return the most control bytes of an instance in one second after a time."""
        return max(
            (size for (_, second), size in self.sent.items() if second >= since_s), default=0
        )

    def _receive_packet(self, node: FakeNode, packet: bytes, source: tuple[str, int]) -> None:
        self.entered += 1
        super()._receive_packet(node, packet, source)

    def _read_platform(self, node: FakeNode) -> None:
        if node.instance.id != self.late_versions:
            super()._read_platform(node)

    def _receive_view(self, node: FakeNode, sender: InstanceId, action: SendToView) -> None:
        is_late = node.instance.id == self.late_versions and isinstance(action.message, VersionBody)
        if not is_late:
            super()._receive_view(node, sender, action)
            return
        self.schedule.call_later(
            DELAY_S, lambda: super(ChangeFleet, self)._receive_view(node, sender, action)
        )

    def _execute_control_actions(self, node: FakeNode, actions: Sequence[ControlAction]) -> None:
        if node.instance.id != self.late_views:
            super()._execute_control_actions(node, actions)
            return
        late = [action for action in actions if isinstance(action, UpdateEntry)]
        super()._execute_control_actions(node, [item for item in actions if item not in late])
        self.schedule.call_later(
            DELAY_S, lambda: super(ChangeFleet, self)._execute_control_actions(node, late)
        )


class Trial:
    """One run: a fleet under load, and what the case changes.

    :ivar excused: upstreams whose flows operators gave up, opened before ``excused_until``.
    """

    def __init__(self, kind: CoreKind, seed: int, flows: int) -> None:
        deployment = create_tenggara(INSTANCES)
        self.service: Service = deployment.configuration.services[0]
        self.instances = deployment.instances
        fleet_type = type(kind.name, (ChangeFleet,), {"kind": kind})
        self.fleet: ChangeFleet = fleet_type(
            deployment.configuration,
            deployment.instances,
            seed,
            deployment.latency_s,
            deployment.caller_latency_s,
        )
        self.fleet.prepare()
        self.excused: set[UpstreamId] = set()
        self.excused_until = 0.0
        self.changed: set[UpstreamId] = set()
        self.fleet.run(START_S)
        self.fleet.open_flows(self.service, flows, OPENINGS_S, ROUNDS, INTERVAL_S)
        self.fleet.run(CHANGE_S)

    def add_upstream(self) -> Upstream:
        """Publish one more upstream."""
        new = create_upstream("qa-desk", 1, 7, self.service.upstreams[1].domain)
        self._publish_upstreams((*self.service.upstreams, new), new.id)
        return new

    def drain_upstream(self) -> None:
        """Publish that an upstream drains."""
        leaving = self.service.upstreams[2]
        upstreams = tuple(
            msgspec.structs.replace(item, draining=True) if item is leaving else item
            for item in self.service.upstreams
        )
        self._publish_upstreams(upstreams, leaving.id)

    def take_domain_out(self) -> None:
        """Publish that a failure domain is out."""
        self.excused = {item.id for item in self.service.upstreams if item.domain == DOMAIN}
        self.excused_until = self.fleet.now + IN_FORCE_S
        self.changed |= self.excused
        self.fleet.publish(set_domain(self.fleet.platform.served, DOMAIN, DomainState.OUT))

    def bring_domain_back(self) -> None:
        """Publish that the failure domain is in again."""
        self.fleet.publish(set_domain(self.fleet.platform.served, DOMAIN, DomainState.IN))

    def replace_entry(self) -> None:
        """Start a new instance, and stop an old one gracefully."""
        domains = [domain.id for domain in self.fleet.platform.served.domains]
        region = self.instances[0].region
        (newcomer,) = create_instances(domains, region, 1, first=INSTANCES + 1)
        self.fleet.platform.publish_instances((*self.fleet.platform.instances, newcomer))
        self.fleet.start_node(newcomer)
        self.fleet.run(2.0)
        self.fleet.stop(SUBJECT)
        self.fleet.run(1.0)
        self.fleet.unlist(SUBJECT)
        self.fleet.run(1.0)
        self.fleet.kill(SUBJECT)

    def _publish_upstreams(self, upstreams: Sequence[Upstream], changed: UpstreamId) -> None:
        self.changed.add(changed)
        configuration = change_upstreams(
            self.fleet.platform.served, self.service.id, tuple(upstreams)
        )
        self.fleet.publish(configuration)


def _change_nothing(trial: Trial) -> None:
    pass


def _add(trial: Trial) -> None:
    trial.add_upstream()


def _drain(trial: Trial) -> None:
    trial.drain_upstream()


def _out_and_back(trial: Trial) -> None:
    trial.take_domain_out()
    trial.fleet.run(IN_FORCE_S)
    trial.bring_domain_back()


def _replace(trial: Trial) -> None:
    trial.replace_entry()


def _kill(trial: Trial) -> None:
    trial.fleet.kill(SUBJECT)


def _pause(trial: Trial) -> None:
    trial.fleet.pause(SUBJECT, PAUSE_S)


def _pause_at_change(trial: Trial) -> None:
    trial.fleet.pause(SUBJECT, PAUSE_S)
    trial.drain_upstream()


def _drain_unevenly(trial: Trial) -> None:
    trial.fleet.late_versions = SUBJECT
    trial.drain_upstream()


def _drain_behind_view(trial: Trial) -> None:
    trial.fleet.late_views = SUBJECT
    trial.drain_upstream()


def _platform_down(trial: Trial) -> None:
    trial.fleet.platform.is_down = True
    trial.fleet.run(2.0)
    trial.drain_upstream()
    trial.fleet.run(6.0)
    trial.fleet.platform.is_down = False


CASES: dict[str, Callable[[Trial], None]] = {
    "no change": _change_nothing,
    "upstream added": _add,
    "upstream drained": _drain,
    "domain out and back": _out_and_back,
    "entry replaced": _replace,
    "entry killed": _kill,
    "entry paused 5 s": _pause,
    "entry paused 5 s, upstream drained": _pause_at_change,
    "uneven versions": _drain_unevenly,
    "entry behind its view": _drain_behind_view,
    "platform down": _platform_down,
}


class ChangeRow(Struct, frozen=True):
    """What one run gave.

    :param broken: flows broken that nobody gave up.
    :param unfinished: flows refused, unanswered or not ended.
    :param imbalance: most openings by the mean, over the upstreams that served throughout.
    :param passed: share of the callers' packets that took a hop.
    :param control_start: control bytes per second and instance from the start to the change.
    :param control: the same from the change until the openings end.
    :param control_peak: most control bytes of an instance in one second after the change.
    :param versions: bytes of configurations per second and instance over the whole run.
    :param most_at_new: most openings in one second at a changed upstream.
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
    versions: float
    most_at_new: int
    misrouted_segments: int


def run_case(case: str, kind: CoreKind, seed: int, flows: int) -> ChangeRow:
    """Run one case."""
    trial = Trial(kind, seed, flows)
    fleet = trial.fleet
    CASES[case](trial)
    fleet.run(max(0.0, START_S + END_S - fleet.now))
    excused = [
        flow
        for flow in fleet.flows
        if flow.accepted_by in trial.excused
        and flow.opened_at < trial.excused_until
        and flow.outcome is not FlowOutcome.DONE
    ]
    counts = fleet.count(set(fleet.flows) - set(excused))
    taken = [
        fleet.upstreams[item.id].accepted
        for item in trial.service.upstreams
        if item.id not in trial.changed
    ]
    change_s = START_S + CHANGE_S
    return ChangeRow(
        case=case,
        kind=kind,
        seed=seed,
        broken=counts[FlowOutcome.BROKEN],
        given_up=len(excused),
        refused=counts[FlowOutcome.REFUSED],
        unfinished=counts[FlowOutcome.UNANSWERED]
        + counts[FlowOutcome.OPENING]
        + counts[FlowOutcome.ESTABLISHED],
        imbalance=max(taken) * len(taken) / sum(taken),
        passed=sum(node.passed for node in fleet.nodes.values()) / fleet.entered,
        control_start=fleet.measure_control(0.0, change_s),
        control=fleet.measure_control(change_s, START_S + OPENINGS_S),
        control_peak=fleet.measure_peak(change_s),
        versions=fleet.versions / fleet.now / INSTANCES,
        most_at_new=max((fleet.upstreams[name].peak_openings for name in trial.changed), default=0),
        misrouted_segments=fleet.misrouted_segments,
    )


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
    """Print one line for each case and core, over all seeds."""
    print(
        "| case | core | seeds | broken | given up | refused | not ended | max/mean | hop "
        "| start B/s | change B/s | peak B in 1 s | versions B/s | most openings/s |"
    )
    print("|---|---|---|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|")
    groups: dict[tuple[str, CoreKind], list[ChangeRow]] = {}
    for row in rows:
        groups.setdefault((row.case, row.kind), []).append(row)
    for (case, kind), group in groups.items():
        count = len(group)
        seeds = ",".join(str(row.seed) for row in group)
        broken = "+".join(str(row.broken) for row in group)
        print(
            f"| {case} | {kind.value} | {seeds} | {broken} "
            f"| {sum(row.given_up for row in group)} | {sum(row.refused for row in group)} "
            f"| {sum(row.unfinished for row in group)} "
            f"| {max(row.imbalance for row in group):.3f} "
            f"| {sum(row.passed for row in group) / count:.2%} "
            f"| {sum(row.control_start for row in group) / count:.0f} "
            f"| {sum(row.control for row in group) / count:.0f} "
            f"| {max(row.control_peak for row in group)} "
            f"| {sum(row.versions for row in group) / count:.0f} "
            f"| {max(row.most_at_new for row in group)} |"
        )
    wrong = sum(row.misrouted_segments for row in rows)
    print(f"\nPackets at an upstream of another service, all runs: {wrong}.")


def main() -> None:
    """Run and print."""
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

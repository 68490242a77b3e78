"""Planned changes and failures under load, compared with two baseline packet cores.

All cores run in the same simulated fleet with the same seeds. ``python -m benchmarks.changes`` runs
every case with every core and seed in a pool of processes and prints a Markdown table. ``--cases``,
``--cores``, ``--seeds`` and ``--flows`` select a part of the runs.
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
    FakeNode,
    FlowOutcome,
    change_upstreams,
    create_instances,
    create_tenggara,
    create_upstream,
    set_domain,
)

INSTANCES = 7
FLOWS = 20_000
MAX_PROCESSES = 4
SETTLE_S = 4.0
LOAD_S = 24.0
CHANGE_AFTER_S = 8.0
ROUNDS = 3
INTERVAL_S = 2.5
DURATION_AFTER_SETTLE_S = 45.0
DOMAIN_OUT_S = 8.0
DELIVERY_DELAY_S = 5.0
PAUSE_S = 5.0
IP_UDP_HEADER_BYTES = 28
SEAL_BYTES = 44
CHANGED_INSTANCE = InstanceId("entry-3")
CHANGED_DOMAIN = DomainId("port-klang")


@unique
class CoreKind(Enum):
    """Which packet core the instances run."""

    CHICORY = "chicoryproxy"
    HASHING = "hashing"
    TRACKING = "tracking"


class ChangeFleet(FakeFleet):
    """A simulated fleet with a selectable packet core that counts control bytes.

    :ivar received_packets: packets that entries received from the fabric.
    :ivar delayed_configuration_instance: instance that receives configurations
        ``DELIVERY_DELAY_S`` late.
    :ivar delayed_view_instance: instance whose entry receives its views ``DELIVERY_DELAY_S`` late.
    :ivar control_bytes: bytes of control messages other than configurations, by instance and
        second.
    :ivar configuration_bytes: bytes of configurations sent between instances.
    """

    kind = CoreKind.CHICORY

    def start_node(self, instance: Instance, in_fabric: bool = True) -> FakeNode:
        """Start an instance with the selected packet core."""
        node = super().start_node(instance, in_fabric)
        if self.kind is CoreKind.HASHING:
            node.core = HashingCore()  # type: ignore[assignment]
        elif self.kind is CoreKind.TRACKING:
            node.core = TrackingCore()  # type: ignore[assignment]
        return node

    def start_counting(self) -> None:
        """Reset the counters and count messages from now on."""
        self.received_packets = 0
        self.delayed_configuration_instance: InstanceId | None = None
        self.delayed_view_instance: InstanceId | None = None
        self.control_bytes: Counter[tuple[InstanceId, int]] = Counter()
        self.configuration_bytes = 0
        self.on_message = self._count_message

    def _count_message(self, sender: InstanceId, action: SendToPeer | SendToView) -> None:
        if isinstance(action.message, PassedPacket):
            return
        size = IP_UDP_HEADER_BYTES + SEAL_BYTES + len(codec.encode(action.message))
        if isinstance(action.message, VersionBody):
            self.configuration_bytes += size
        else:
            self.control_bytes[sender, int(self.now)] += size

    def control_bytes_per_s(self, since_s: float, until_s: float) -> float:
        """Return the control bytes per second and instance in a period."""
        control_bytes = sum(
            size for (_, second), size in self.control_bytes.items() if since_s <= second < until_s
        )
        return control_bytes / (until_s - since_s) / INSTANCES

    def peak_control_bytes(self, since_s: float) -> int:
        """Return the most control bytes that an instance sent in one second since ``since_s``."""
        return max(
            (size for (_, second), size in self.control_bytes.items() if second >= since_s),
            default=0,
        )

    def _receive_packet(self, node: FakeNode, packet: bytes, source: tuple[str, int]) -> None:
        self.received_packets += 1
        super()._receive_packet(node, packet, source)

    def _read_platform(self, node: FakeNode) -> None:
        if node.instance.id != self.delayed_configuration_instance:
            super()._read_platform(node)

    def _receive_view(self, node: FakeNode, sender: InstanceId, action: SendToView) -> None:
        is_delayed = node.instance.id == self.delayed_configuration_instance and isinstance(
            action.message, VersionBody
        )
        if not is_delayed:
            super()._receive_view(node, sender, action)
            return
        self.schedule.call_later(
            DELIVERY_DELAY_S, lambda: super(ChangeFleet, self)._receive_view(node, sender, action)
        )

    def _execute_control_actions(self, node: FakeNode, actions: Sequence[ControlAction]) -> None:
        if node.instance.id != self.delayed_view_instance:
            super()._execute_control_actions(node, actions)
            return
        delayed = [action for action in actions if isinstance(action, UpdateEntry)]
        super()._execute_control_actions(node, [item for item in actions if item not in delayed])
        self.schedule.call_later(
            DELIVERY_DELAY_S,
            lambda: super(ChangeFleet, self)._execute_control_actions(node, delayed),
        )


class Trial:
    """A simulated fleet under load, and the changes that a case makes to it.

    :ivar given_up_upstreams: upstreams of which operators gave up the flows opened before
        ``given_up_before_s`` by taking the failure domain out.
    :ivar changed: upstreams that the case changed.
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
        self.fleet.start_counting()
        self.given_up_upstreams: set[UpstreamId] = set()
        self.given_up_before_s = 0.0
        self.changed: set[UpstreamId] = set()
        self.fleet.run(SETTLE_S)
        self.fleet.open_flows(self.service, flows, LOAD_S, ROUNDS, INTERVAL_S)
        self.fleet.run(CHANGE_AFTER_S)

    def add_upstream(self) -> Upstream:
        """Publish a configuration with an additional upstream."""
        new = create_upstream("qa-desk", 1, 7, self.service.upstreams[1].domain)
        self._publish_upstreams((*self.service.upstreams, new), new.id)
        return new

    def drain_upstream(self) -> None:
        """Publish a configuration in which an upstream drains."""
        drained = self.service.upstreams[2]
        upstreams = tuple(
            msgspec.structs.replace(item, draining=True) if item is drained else item
            for item in self.service.upstreams
        )
        self._publish_upstreams(upstreams, drained.id)

    def take_domain_out(self) -> None:
        """Publish a configuration in which a failure domain is out."""
        self.given_up_upstreams = {
            item.id for item in self.service.upstreams if item.domain == CHANGED_DOMAIN
        }
        self.given_up_before_s = self.fleet.now + DOMAIN_OUT_S
        self.changed |= self.given_up_upstreams
        self.fleet.publish(set_domain(self.fleet.platform.served, CHANGED_DOMAIN, DomainState.OUT))

    def bring_domain_back(self) -> None:
        """Publish a configuration in which the failure domain is in again."""
        self.fleet.publish(set_domain(self.fleet.platform.served, CHANGED_DOMAIN, DomainState.IN))

    def replace_entry(self) -> None:
        """Start a new instance and shut an old one down gracefully."""
        domains = [domain.id for domain in self.fleet.platform.served.domains]
        region = self.instances[0].region
        (new_instance,) = create_instances(domains, region, 1, first=INSTANCES + 1)
        self.fleet.platform.publish_instances((*self.fleet.platform.instances, new_instance))
        self.fleet.start_node(new_instance)
        self.fleet.run(2.0)
        self.fleet.stop(CHANGED_INSTANCE)
        self.fleet.run(1.0)
        self.fleet.unlist(CHANGED_INSTANCE)
        self.fleet.run(1.0)
        self.fleet.kill(CHANGED_INSTANCE)

    def _publish_upstreams(self, upstreams: Sequence[Upstream], changed: UpstreamId) -> None:
        self.changed.add(changed)
        configuration = change_upstreams(
            self.fleet.platform.served, self.service.id, tuple(upstreams)
        )
        self.fleet.publish(configuration)


def _keep_configuration(trial: Trial) -> None:
    pass


def _add_upstream(trial: Trial) -> None:
    trial.add_upstream()


def _drain_upstream(trial: Trial) -> None:
    trial.drain_upstream()


def _take_domain_out_and_back(trial: Trial) -> None:
    trial.take_domain_out()
    trial.fleet.run(DOMAIN_OUT_S)
    trial.bring_domain_back()


def _replace_entry(trial: Trial) -> None:
    trial.replace_entry()


def _kill_entry(trial: Trial) -> None:
    trial.fleet.kill(CHANGED_INSTANCE)


def _pause_entry(trial: Trial) -> None:
    trial.fleet.pause(CHANGED_INSTANCE, PAUSE_S)


def _pause_entry_and_drain(trial: Trial) -> None:
    trial.fleet.pause(CHANGED_INSTANCE, PAUSE_S)
    trial.drain_upstream()


def _drain_with_delayed_configuration(trial: Trial) -> None:
    trial.fleet.delayed_configuration_instance = CHANGED_INSTANCE
    trial.drain_upstream()


def _drain_with_delayed_view(trial: Trial) -> None:
    trial.fleet.delayed_view_instance = CHANGED_INSTANCE
    trial.drain_upstream()


def _drain_while_platform_down(trial: Trial) -> None:
    trial.fleet.platform.is_down = True
    trial.fleet.run(2.0)
    trial.drain_upstream()
    trial.fleet.run(6.0)
    trial.fleet.platform.is_down = False


CASES: dict[str, Callable[[Trial], None]] = {
    "no change": _keep_configuration,
    "upstream added": _add_upstream,
    "upstream drained": _drain_upstream,
    "domain out and back": _take_domain_out_and_back,
    "entry replaced": _replace_entry,
    "entry killed": _kill_entry,
    "entry paused 5 s": _pause_entry,
    "entry paused 5 s, upstream drained": _pause_entry_and_drain,
    "uneven versions": _drain_with_delayed_configuration,
    "entry behind its view": _drain_with_delayed_view,
    "platform down": _drain_while_platform_down,
}


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
    given_up_flows = [
        flow
        for flow in fleet.flows
        if flow.accepted_by in trial.given_up_upstreams
        and flow.opened_at < trial.given_up_before_s
        and flow.outcome is not FlowOutcome.DONE
    ]
    counts = fleet.count(set(fleet.flows) - set(given_up_flows))
    opening_counts = [
        fleet.upstreams[item.id].accepted
        for item in trial.service.upstreams
        if item.id not in trial.changed
    ]
    change_s = SETTLE_S + CHANGE_AFTER_S
    return ChangeRow(
        case=case,
        kind=kind,
        seed=seed,
        broken=counts[FlowOutcome.BROKEN],
        given_up=len(given_up_flows),
        refused=counts[FlowOutcome.REFUSED],
        unfinished=counts[FlowOutcome.UNANSWERED]
        + counts[FlowOutcome.OPENING]
        + counts[FlowOutcome.ESTABLISHED],
        imbalance=max(opening_counts) * len(opening_counts) / sum(opening_counts),
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
            f"| {sum(row.configuration_bytes for row in group) / count:.0f} "
            f"| {max(row.peak_openings_at_changed for row in group)} |"
        )
    wrong = sum(row.misrouted_segments for row in rows)
    print(f"\nPackets at an upstream of another service, all runs: {wrong}.")


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

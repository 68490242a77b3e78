"""Control traffic, processor time and memory of the control core against the number of members.

Runs control cores in one process. Each message takes about 2 ms and is lost with the probability
``LOSS_RATE``; its size is that of its encoding. Byte counts include IP and UDP headers and the
seal, but not configurations, which are sent over TCP.

Run with ``python -m benchmarks.control_slopes``. ``--sizes`` sets the numbers of members and
``--interval`` the probe interval in seconds.
"""

import argparse
import gc
import time
import tracemalloc
from collections.abc import Callable, Sequence

from msgspec import Struct

from chicoryproxy.control.core import create_control_core
from chicoryproxy.control.versions import EMPTY_CONFIGURATION
from chicoryproxy.ids import Incarnation, InstanceId, Version
from chicoryproxy.model import FleetLimits
from chicoryproxy.network import codec
from chicoryproxy.protocol.actions import ControlAction, SendToView
from chicoryproxy.protocol.events import ConfigurationRead, InstancesRead
from chicoryproxy.protocol.messages import (
    Ack,
    Gossip,
    MemberUpdate,
    Ping,
    VersionBody,
    VersionFetch,
    ViewMessage,
)
from chicoryproxy.states import MemberState
from tests.control_net import (
    DOMAINS,
    TICK_S,
    ControlNet,
    make_configuration,
    make_instance,
    make_upstream,
)

DEFAULT_FLEET_SIZES = (10, 50, 100, 300)
LARGE_FLEETS = ((1025, 1819), (4100, 7276))
"""Members and replacements per day: one region of the target fleet, and all of it as one group."""

IP_UDP_HEADER_BYTES = 28
SEAL_BYTES = 44
SETTLE_S = 10.0
STEADY_MEASURE_S = 30.0
CHURN_MEASURE_S = 60.0
LARGE_SETTLE_S = 60.0
LARGE_MEASURE_S = 600.0
TICKS_PER_PROBE = 5
PARTITION_S = 60.0
PARTITION_FLEET_SIZES = (7, 60, 200)
KILL_COUNT = 5
LOSS_RATE = 0.01


class FleetRow(Struct, frozen=True):
    """Results for one number of members.

    :param steady_bytes_per_s: mean bytes per second that one instance sends while nothing changes.
    :param churn_bytes_per_s: the same while an instance is replaced every ten seconds.
    :param peak_bytes_per_s: the highest rate of one instance during the churn.
    :param cpu_share: share of a processor core that one instance uses while nothing changes.
    :param state_bytes: memory of one control core in bytes.
    :param detect_s: the longest of ``KILL_COUNT`` times until every instance considers a killed one
        hidden.
    :param spread_s: time until every instance has received a new version.
    """

    members: int
    steady_bytes_per_s: float
    churn_bytes_per_s: float
    peak_bytes_per_s: float
    cpu_share: float
    state_bytes: float
    detect_s: float
    spread_s: float


class ByteCountingNet(ControlNet):
    """Counts the bytes of sealed messages other than configurations."""

    def measure(self, message: ViewMessage) -> int:
        """Return the bytes of a message on the wire."""
        return IP_UDP_HEADER_BYTES + SEAL_BYTES + len(codec.encode(message))


def measure(members: int, interval_s: float) -> FleetRow:
    """Measure a fleet of control cores.

    :param interval_s: probe interval in seconds.
    """
    fleet = FleetLimits(probe_interval_s=interval_s)
    gc.collect()
    tracemalloc.start()
    net = ByteCountingNet(members, loss=LOSS_RATE)
    net.configuration = make_configuration(1, fleet=fleet)
    net.run(SETTLE_S)
    gc.collect()
    state_bytes = tracemalloc.get_traced_memory()[0] / members
    tracemalloc.stop()
    net.sent_bytes.clear()
    began = time.process_time()
    net.run(STEADY_MEASURE_S)
    cpu_share = (time.process_time() - began) / STEADY_MEASURE_S / members
    steady_bytes_per_s = sum(net.sent_bytes.values()) / members / STEADY_MEASURE_S
    upstreams = [make_upstream(0, net.instances[0].domain)]
    net.publish(make_configuration(2, upstreams, fleet=fleet))
    spread_s = net.run_until(lambda: net.all_have(2), 60.0)
    detect_s = max(measure_detection(net) for _ in range(KILL_COUNT))
    net.sent_bytes.clear()
    replace_instances(net, members)
    sent = net.sent_bytes.values()
    return FleetRow(
        members,
        steady_bytes_per_s,
        sum(sent) / members / CHURN_MEASURE_S,
        max(sent) / CHURN_MEASURE_S,
        cpu_share,
        state_bytes,
        detect_s,
        spread_s,
    )


def measure_detection(net: ControlNet) -> float:
    """Kill an instance and return the time until all others consider it hidden."""
    killed = net.instances.pop(1).id
    net.kill(killed)

    def is_hidden() -> bool:
        return all(net.get_state(id_, killed).value == "hidden" for id_ in net.cores)

    return net.run_until(is_hidden, 120.0)


def replace_instances(net: ControlNet, members: int) -> None:
    """Replace an instance every ten seconds for ``CHURN_MEASURE_S``."""
    for step in range(int(CHURN_MEASURE_S / 10.0)):
        net.kill(net.instances[2].id)
        del net.instances[2]
        new_instance = make_instance(members + step)
        net.instances.append(new_instance)
        net.run(5.0)
        net.publish_list(net.instances)
        net.start(new_instance)
        net.run(5.0)


class SingleCoreRow(Struct, frozen=True):
    """Results for one control core; the messages of its ``members - 1`` peers are simulated.

    :param replaced: instances replaced per day.
    :param sent: bytes per second that the core sends.
    :param cpu_share: share of a processor core that it uses.
    :param state_bytes: memory of the control core in bytes.
    """

    members: int
    replaced: int
    sent: float
    cpu_share: float
    state_bytes: float


class SingleCoreNet:
    """One control core with simulated peers that answer its probes at once and send probes to it.

    A probe to the core carries the replacements since the previous probe: one instance leaves and
    is gone, and another one joins.
    """

    def __init__(self, members: int, replaced_per_day: int) -> None:
        self._replaced_per_s = replaced_per_day / 86400.0
        self._peers = [make_instance(index) for index in range(members)]
        self._core = create_control_core(self._peers[0], 1)
        self._number = 0
        self._replaced = 0
        self._replacements_due = 0.0
        self.now = 100.0
        self.sent_bytes = 0
        self.cpu_s = 0.0

    def start(self) -> None:
        """Pass the published instance list and a configuration to the core."""
        self._feed(lambda now: self._core.receive_reading(InstancesRead(tuple(self._peers)), now))
        configuration = make_configuration(1)
        self._feed(lambda now: self._core.receive_reading(ConfigurationRead(configuration), now))

    def run(self, seconds: float) -> None:
        """Advance in steps of ``TICK_S`` and deliver a probe every half second."""
        for step in range(int(seconds / TICK_S)):
            self.now += TICK_S
            self._feed(self._core.tick)
            if step % TICKS_PER_PROBE == 0:
                self._receive_probe()

    def _receive_probe(self) -> None:
        self._number += 1
        sender = self._peers[1 + self._number % (len(self._peers) - 1)].id
        self._replacements_due += self._replaced_per_s * TICKS_PER_PROBE * TICK_S
        members: list[MemberUpdate] = []
        while self._replacements_due >= 1.0:
            self._replacements_due -= 1.0
            members.extend(self._replace())
        gossip = Gossip(Version(1), tuple(members))
        ping = Ping(self._number, gossip)
        self._feed(lambda now: self._core.receive_message(sender, ping, now))

    def _replace(self) -> list[MemberUpdate]:
        self._replaced += 1
        index = 1 + self._replaced % (len(self._peers) - 1)
        new_instance = make_instance(len(self._peers) + self._replaced)
        old, self._peers[index] = self._peers[index], new_instance
        body = VersionBody(EMPTY_CONFIGURATION, (), (new_instance,), ())
        peer = self._peers[index - 1 or 2].id
        self._feed(lambda now: self._core.receive_message(peer, body, now))
        return [
            MemberUpdate(old.id, MemberState.LEAVING, Incarnation(1)),
            MemberUpdate(old.id, MemberState.GONE, Incarnation(1)),
        ]

    def _feed(self, call: Callable[[float], Sequence[ControlAction]]) -> None:
        began = time.process_time()
        actions = call(self.now)
        self.cpu_s += time.process_time() - began
        for action in actions:
            if isinstance(action, SendToView):
                self._answer(action.instance, action.message)

    def _answer(self, peer: InstanceId, message: ViewMessage) -> None:
        if not isinstance(message, VersionBody):
            self.sent_bytes += IP_UDP_HEADER_BYTES + SEAL_BYTES + len(codec.encode(message))
        if isinstance(message, Ping):
            ack = Ack(message.number, peer, Gossip(Version(1)))
            self._feed(lambda now: self._core.receive_message(peer, ack, now))
        elif isinstance(message, VersionFetch):
            body = VersionBody(EMPTY_CONFIGURATION, (), (), ())
            self._feed(lambda now: self._core.receive_message(peer, body, now))


def measure_single_core(members: int, replaced_per_day: int) -> SingleCoreRow:
    """Measure one control core in a large fleet."""
    tracemalloc.start()
    fleet = SingleCoreNet(members, replaced_per_day)
    before = tracemalloc.get_traced_memory()[0]
    fleet.start()
    gc.collect()
    state_bytes = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    fleet.run(LARGE_SETTLE_S)
    fleet.sent_bytes = 0
    fleet.cpu_s = 0.0
    fleet.run(LARGE_MEASURE_S)
    sent = fleet.sent_bytes / LARGE_MEASURE_S
    return SingleCoreRow(
        members, replaced_per_day, sent, fleet.cpu_s / LARGE_MEASURE_S, state_bytes
    )


class PartitionRow(Struct, frozen=True):
    """Results for a failure domain that was partitioned for ``PARTITION_S``.

    :param recovery_s: time from the end of the partition until all instances consider all others
        alive.
    :param peak_bytes_per_s: the highest rate of one instance in that time.
    """

    members: int
    recovery_s: float
    peak_bytes_per_s: float


def measure_partition(members: int) -> PartitionRow:
    """Partition one of three failure domains, then restore its connectivity."""
    net = ByteCountingNet(members, loss=LOSS_RATE)
    net.run(SETTLE_S)
    isolated = {entry.id for entry in net.instances if entry.domain == DOMAINS[0]}
    net.is_dropped = lambda sender, target: (sender in isolated) != (target in isolated)
    net.run(PARTITION_S)
    net.is_dropped = lambda sender, target: False
    net.sent_bytes.clear()

    def is_recovered() -> bool:
        views = net.views.values()
        states = {member.state for view in views for member in view.members}
        return states == {MemberState.ALIVE}

    recovery_s = net.run_until(is_recovered, 300.0)
    return PartitionRow(members, recovery_s, max(net.sent_bytes.values()) / recovery_s)


def print_partitions(rows: Sequence[PartitionRow]) -> None:
    """Print the results for partitions as a Markdown table."""
    print("| members | healed s | peak B/s |")
    print("|---:|---:|---:|")
    for row in rows:
        print(f"| {row.members} | {row.recovery_s:.1f} | {row.peak_bytes_per_s:.0f} |")


def print_rows(rows: Sequence[FleetRow]) -> None:
    """Print the results for fleets as a Markdown table."""
    print(
        "| members | steady B/s | churn B/s | peak B/s | core | state KB | hidden s | version s |"
    )
    print("|---:|---:|---:|---:|---:|---:|---:|---:|")
    for row in rows:
        print(
            f"| {row.members} | {row.steady_bytes_per_s:.0f} | {row.churn_bytes_per_s:.0f} "
            f"| {row.peak_bytes_per_s:.0f} | {row.cpu_share:.3%} | {row.state_bytes / 1e3:.0f} "
            f"| {row.detect_s:.1f} | {row.spread_s:.1f} |"
        )


def print_single_cores(rows: Sequence[SingleCoreRow]) -> None:
    """Print the results for single control cores as a Markdown table."""
    print("| members | replaced/day | sent B/s | core | state KB |")
    print("|---:|---:|---:|---:|---:|")
    for row in rows:
        print(
            f"| {row.members} | {row.replaced} | {row.sent:.0f} "
            f"| {row.cpu_share:.3%} | {row.state_bytes / 1e3:.0f} |"
        )


def main() -> None:
    """Run the measurements and print their tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=DEFAULT_FLEET_SIZES)
    parser.add_argument("--interval", type=float, default=FleetLimits().probe_interval_s)
    parser.add_argument("--only-sizes", action="store_true")
    options = parser.parse_args()
    print_rows([measure(members, options.interval) for members in options.sizes])
    if options.only_sizes:
        return
    print()
    print_single_cores(
        [measure_single_core(members, replaced) for members, replaced in LARGE_FLEETS]
    )
    print()
    print_partitions([measure_partition(members) for members in PARTITION_FLEET_SIZES])


if __name__ == "__main__":
    main()

"""Control traffic, processor time and memory of the control core against the number of members.

Drives control cores in one process over messages that take about 2 ms, of which ``LOSS`` is lost,
and encodes each message with the codec for its size. The bytes include IP and UDP headers and the
seal; configurations, which travel over TCP, are not in them.

Run with ``python -m benchmarks.control_slopes``; ``--sizes`` sets the numbers of members and
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

DEFAULT_SIZES = (10, 50, 100, 300)
LARGE_FLEETS = ((1025, 1819), (4100, 7276))
"""Members and replacements per day: a region of the target, and the whole target as one group."""

HEADERS_BYTES = 28
SEAL_BYTES = 44
SETTLE_S = 10.0
STEADY_S = 30.0
CHURN_S = 60.0
LARGE_SETTLE_S = 60.0
LARGE_S = 600.0
PROBE_TICKS = 5
PARTITION_S = 60.0
HEAL_SIZES = (7, 60, 200)
KILLS = 5
LOSS = 0.01


class Row(Struct, frozen=True):
    """Figures of one size.

    :param steady: bytes per second that one instance sends, on average, without any change.
    :param churn: the same while an instance is replaced every ten seconds.
    :param peak: the highest average of one instance in the time of churn.
    :param cpu: part of a core that one instance takes without any change.
    :param state: bytes that one core holds.
    :param detect_s: the longest of ``KILLS`` times until every instance has a killed one as
        hidden.
    :param spread_s: time until every instance has a new version.
    """

    members: int
    steady: float
    churn: float
    peak: float
    cpu: float
    state: float
    detect_s: float
    spread_s: float


class MeteredNet(ControlNet):
    """Counts the bytes of the sealed messages other than configurations."""

    def measure(self, message: ViewMessage) -> int:
        """Return the bytes of a message on the wire."""
        return HEADERS_BYTES + SEAL_BYTES + len(codec.encode(message))


def measure(members: int, interval_s: float) -> Row:
    """Run one size with a probe interval in seconds."""
    fleet = FleetLimits(probe_interval_s=interval_s)
    gc.collect()
    tracemalloc.start()
    net = MeteredNet(members, loss=LOSS)
    net.configuration = make_configuration(1, fleet=fleet)
    net.run(SETTLE_S)
    gc.collect()
    state = tracemalloc.get_traced_memory()[0] / members
    tracemalloc.stop()
    net.sent_bytes.clear()
    began = time.process_time()
    net.run(STEADY_S)
    cpu = (time.process_time() - began) / STEADY_S / members
    steady = sum(net.sent_bytes.values()) / members / STEADY_S
    upstreams = [make_upstream(0, net.instances[0].domain)]
    net.publish(make_configuration(2, upstreams, fleet=fleet))
    spread_s = net.run_until(lambda: net.all_have(2), 60.0)
    detect_s = max(measure_detection(net) for _ in range(KILLS))
    net.sent_bytes.clear()
    churn(net, members)
    sent = net.sent_bytes.values()
    return Row(
        members,
        steady,
        sum(sent) / members / CHURN_S,
        max(sent) / CHURN_S,
        cpu,
        state,
        detect_s,
        spread_s,
    )


def measure_detection(net: ControlNet) -> float:
    """Kill an instance and return the time until all others have it as hidden."""
    dead = net.instances.pop(1).id
    net.kill(dead)

    def is_hidden() -> bool:
        return all(net.get_state(id_, dead).value == "hidden" for id_ in net.cores)

    return net.run_until(is_hidden, 120.0)


def churn(net: ControlNet, members: int) -> None:
    """Replace an instance every ten seconds."""
    for step in range(int(CHURN_S / 10.0)):
        net.kill(net.instances[2].id)
        del net.instances[2]
        newcomer = make_instance(members + step)
        net.instances.append(newcomer)
        net.run(5.0)
        net.publish_list(net.instances)
        net.start(newcomer)
        net.run(5.0)


class LargeRow(Struct, frozen=True):
    """Figures of one core among ``members`` members whose messages are generated.

    :param replaced: instances replaced per day.
    :param sent: bytes per second that it sends.
    :param cpu: part of a core that it takes.
    :param state: bytes that it holds.
    """

    members: int
    replaced: int
    sent: float
    cpu: float
    state: float


class CrowdedCore:
    """One control core whose probes are answered at once and which gets probes as in a fleet.

    Each probe that it gets carries the news of the replacements since the probe before: the end
    of one instance in three states and the start of another.
    """

    def __init__(self, members: int, replaced_per_day: int) -> None:
        self._replaced_per_s = replaced_per_day / 86400.0
        self._peers = [make_instance(index) for index in range(members)]
        self._core = create_control_core(self._peers[0], 1)
        self._number = 0
        self._replaced = 0
        self._due = 0.0
        self.now = 100.0
        self.sent_bytes = 0
        self.cpu_s = 0.0

    def start(self) -> None:
        """Give the core the published list and a configuration."""
        self._feed(lambda now: self._core.receive_reading(InstancesRead(tuple(self._peers)), now))
        configuration = make_configuration(1)
        self._feed(lambda now: self._core.receive_reading(ConfigurationRead(configuration), now))

    def run(self, seconds: float) -> None:
        """Let time pass in ticks of ``TICK_S`` with one probe received every half second."""
        for step in range(int(seconds / TICK_S)):
            self.now += TICK_S
            self._feed(self._core.tick)
            if step % PROBE_TICKS == 0:
                self._receive_probe()

    def _receive_probe(self) -> None:
        self._number += 1
        sender = self._peers[1 + self._number % (len(self._peers) - 1)].id
        self._due += self._replaced_per_s * PROBE_TICKS * TICK_S
        members: list[MemberUpdate] = []
        while self._due >= 1.0:
            self._due -= 1.0
            members.extend(self._replace())
        gossip = Gossip(Version(1), tuple(members))
        ping = Ping(self._number, gossip)
        self._feed(lambda now: self._core.receive_message(sender, ping, now))

    def _replace(self) -> list[MemberUpdate]:
        self._replaced += 1
        index = 1 + self._replaced % (len(self._peers) - 1)
        newcomer = make_instance(len(self._peers) + self._replaced)
        old, self._peers[index] = self._peers[index], newcomer
        body = VersionBody(EMPTY_CONFIGURATION, (), (newcomer,), ())
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
            self.sent_bytes += HEADERS_BYTES + SEAL_BYTES + len(codec.encode(message))
        if isinstance(message, Ping):
            ack = Ack(message.number, peer, Gossip(Version(1)))
            self._feed(lambda now: self._core.receive_message(peer, ack, now))
        elif isinstance(message, VersionFetch):
            body = VersionBody(EMPTY_CONFIGURATION, (), (), ())
            self._feed(lambda now: self._core.receive_message(peer, body, now))


def measure_large(members: int, replaced_per_day: int) -> LargeRow:
    """Run one core among many members."""
    tracemalloc.start()
    fleet = CrowdedCore(members, replaced_per_day)
    before = tracemalloc.get_traced_memory()[0]
    fleet.start()
    gc.collect()
    state = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    fleet.run(LARGE_SETTLE_S)
    fleet.sent_bytes = 0
    fleet.cpu_s = 0.0
    fleet.run(LARGE_S)
    sent = fleet.sent_bytes / LARGE_S
    return LargeRow(members, replaced_per_day, sent, fleet.cpu_s / LARGE_S, state)


class HealRow(Struct, frozen=True):
    """Figures of a domain that was cut off for ``PARTITION_S``.

    :param healed_s: time from the end of the partition until all instances have all as alive.
    :param peak: the highest bytes per second of one instance in that time.
    """

    members: int
    healed_s: float
    peak: float


def measure_heal(members: int) -> HealRow:
    """Cut one of three domains off and heal."""
    net = MeteredNet(members, loss=LOSS)
    net.run(SETTLE_S)
    side = {entry.id for entry in net.instances if entry.domain == DOMAINS[0]}
    net.is_dropped = lambda sender, target: (sender in side) != (target in side)
    net.run(PARTITION_S)
    net.is_dropped = lambda sender, target: False
    net.sent_bytes.clear()

    def is_merged() -> bool:
        views = net.views.values()
        states = {member.state for view in views for member in view.members}
        return states == {MemberState.ALIVE}

    healed_s = net.run_until(is_merged, 300.0)
    return HealRow(members, healed_s, max(net.sent_bytes.values()) / healed_s)


def print_heals(rows: Sequence[HealRow]) -> None:
    """Print the rows of healed partitions as a table in Markdown."""
    print("| members | healed s | peak B/s |")
    print("|---:|---:|---:|")
    for row in rows:
        print(f"| {row.members} | {row.healed_s:.1f} | {row.peak:.0f} |")


def print_rows(rows: Sequence[Row]) -> None:
    """Print the measured rows as a table in Markdown."""
    print(
        "| members | steady B/s | churn B/s | peak B/s | core | state KB | hidden s | version s |"
    )
    print("|---:|---:|---:|---:|---:|---:|---:|---:|")
    for row in rows:
        print(
            f"| {row.members} | {row.steady:.0f} | {row.churn:.0f} | {row.peak:.0f} "
            f"| {row.cpu:.3%} | {row.state / 1e3:.0f} | {row.detect_s:.1f} | {row.spread_s:.1f} |"
        )


def print_large(rows: Sequence[LargeRow]) -> None:
    """Print the rows of single cores as a table in Markdown."""
    print("| members | replaced/day | sent B/s | core | state KB |")
    print("|---:|---:|---:|---:|---:|")
    for row in rows:
        print(
            f"| {row.members} | {row.replaced} | {row.sent:.0f} "
            f"| {row.cpu:.3%} | {row.state / 1e3:.0f} |"
        )


def main() -> None:
    """Measure and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=DEFAULT_SIZES)
    parser.add_argument("--interval", type=float, default=FleetLimits().probe_interval_s)
    parser.add_argument("--only-sizes", action="store_true")
    options = parser.parse_args()
    print_rows([measure(members, options.interval) for members in options.sizes])
    if options.only_sizes:
        return
    print()
    print_large([measure_large(members, replaced) for members, replaced in LARGE_FLEETS])
    print()
    print_heals([measure_heal(members) for members in HEAL_SIZES])


if __name__ == "__main__":
    main()

"""Control traffic, processor time and memory of the control core against the number of members.

Drives control cores in one process over messages that take a few milliseconds, and encodes each
message with the codec for its size. The bytes include ``HEADER_BYTES`` for IP, UDP and the seal.

Run with ``python -m benchmarks.control_slopes``; ``--sizes`` sets the numbers of members.
"""

import argparse
import gc
import sys
import time
import tracemalloc

from msgspec import Struct

from chicoryproxy import codec
from chicoryproxy.sizes import estimate_message
from tests.control_net import ControlNet, make_configuration, make_instance, make_upstream

DEFAULT_SIZES = (10, 50, 100, 300)
HEADER_BYTES = 28 + 32
SETTLE_S = 10.0
STEADY_S = 30.0
CHURN_S = 60.0
LOSS = 0.01
LARGE_FLEET = 4100


class Row(Struct, frozen=True):
    """Figures of one size.

    :param steady: bytes per second that one instance sends, on average, without any change.
    :param churn: the same while an instance is replaced every ten seconds.
    :param peak: the highest average of one instance in the time of churn.
    :param cpu: part of a core that one instance takes without any change.
    :param state: bytes that one core holds.
    :param detect_s: time until every instance has a killed one as hidden.
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
    """Counts the encoded bytes of the messages other than configurations."""

    def _measure(self, message: codec.ViewMessage) -> int:
        return len(codec.encode(message)) + HEADER_BYTES


def measure(members: int) -> Row:
    """Run one size."""
    gc.collect()
    tracemalloc.start()
    net = MeteredNet(members, loss=LOSS)
    net.run(SETTLE_S)
    gc.collect()
    state = tracemalloc.get_traced_memory()[0] / members
    tracemalloc.stop()
    net.sent_bytes.clear()
    began = time.process_time()
    net.run(STEADY_S)
    cpu = (time.process_time() - began) / STEADY_S / members
    steady = sum(net.sent_bytes.values()) / members / STEADY_S
    net.publish(make_configuration(2, [make_upstream(0, net.instances[0].domain)]))
    spread_s = net.run_until(lambda: net.all_have(2), 60.0)
    detect_s = measure_detection(net)
    net.sent_bytes.clear()
    churn(net)
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
    dead = net.instances[1].id
    net.kill(dead)

    def is_hidden() -> bool:
        return all(net.get_state(id_, dead).value == "hidden" for id_ in net.cores)

    return net.run_until(is_hidden, 120.0)


def churn(net: ControlNet) -> None:
    """Replace an instance every ten seconds."""
    members = len(net.instances)
    for step in range(int(CHURN_S / 10.0)):
        net.kill(net.instances[2].id)
        del net.instances[2]
        newcomer = make_instance(members + step)
        net.instances.append(newcomer)
        net.run(5.0)
        net.publish_list(net.instances)
        net.start(newcomer)
        net.run(5.0)


def measure_large() -> float:
    """Return the bytes per second of one core among ``LARGE_FLEET`` members that all answer."""
    net = MeteredNet(1)
    net.published = tuple(make_instance(index) for index in range(LARGE_FLEET))
    net.answering = True
    net.run(SETTLE_S)
    net.sent_bytes.clear()
    net.run(STEADY_S)
    return sum(net.sent_bytes.values()) / STEADY_S

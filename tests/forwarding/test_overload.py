"""Overload never counts as death: upstreams that are late, silent or full keep their flows."""

import pytest

from chicoryproxy.forwarding.health.reachability import (
    DRAIN_FINISHING_S,
    FINISHING_RECHECK_S,
    OVERLOAD_RETRY_S,
    OVERLOAD_SUCCESS_VALID_S,
    ProbeResult,
)
from chicoryproxy.forwarding.load.overload import (
    LATE_RESPONSE_S,
    OVERLOAD_CONFIRMATION_S,
    LateResponseDetector,
)
from chicoryproxy.node.probe import CONNECT_TIMEOUT_S
from tests.forwarding.harness import OTHER_DOMAIN, ForwarderHarness, create_packet
from tests.forwarding.probenetwork import NEVER_S, TICK_S, Network

BURST_S = 9.0
LATE_S = LATE_RESPONSE_S + 0.05
RETRANSMISSION_S = 0.2
STEP_S = 0.1
PROOF_S = OVERLOAD_SUCCESS_VALID_S + OVERLOAD_CONFIRMATION_S + OVERLOAD_RETRY_S + 0.5
"""A probe may have succeeded just before; then come timeouts, and one more with its control."""


@pytest.fixture
def harness():
    """A forwarding core of a large fleet, where health checks may be false."""
    harness = ForwarderHarness(has_false_health=True)
    harness.publish_routing(1)
    return harness


@pytest.fixture
def network(harness):
    """A network in which all connections succeed at once."""
    return Network(harness)


def use(harness, upstream, port, answer):
    """Send a request in a flow that another entry has opened, or acknowledge a response."""
    harness.send(
        create_packet(
            port=port,
            mark=upstream.mark,
            sequence=10 * answer,
            acknowledged=10 * answer,
            size=10,
        )
    )


def run_burst(harness, network, upstreams, seconds, retransmitting=()):
    """Let upstreams answer late, and callers send again to those that don't answer at all."""
    end_s = harness.now + seconds
    while harness.now < end_s - TICK_S / 2:
        answer = round(harness.now / TICK_S)
        for port, upstream in enumerate(upstreams, 2000):
            use(harness, upstream, port, answer)
        for port, upstream in enumerate(retransmitting, 1024):
            use(harness, upstream, port, 1)
        network.run(LATE_S)


def suspect(harness, upstream):
    """Request a probe, as a repeated packet does."""
    harness.forwarder.reachability.suspect(upstream, harness.now)


# A burst: full upstreams reset the connections of probes, and answer other entries only.
@pytest.mark.parametrize("is_control_full", [True, False])
def test_a_full_upstream_that_resets_connections_keeps_its_flows(harness, network, is_control_full):
    upstream, other = harness.publish_upstream("i-1"), harness.publish_upstream("i-2")
    network.resetting = dict.fromkeys(
        ("i-1", "i-2") if is_control_full else ("i-1",), ProbeResult.RESET
    )
    use(harness, upstream, 1024, 1)
    use(harness, other, 1025, 1)
    for _ in range(round(BURST_S / RETRANSMISSION_S)):
        suspect(harness, upstream)
        network.run(RETRANSMISSION_S)
    assert network.broken == []
    assert not upstream.is_unreachable


# A burst, and a machine loses its power: the living upstreams only reset connections.
def test_a_dead_upstream_is_found_while_all_others_are_full(harness, network):
    upstream = harness.publish_upstream("i-1")
    harness.publish_upstream("i-2")
    network.resetting["i-2"] = ProbeResult.RESET
    use(harness, upstream, 1024, 1)
    network.delays_s["i-1"] = NEVER_S
    suspect(harness, upstream)
    network.run(2 * CONNECT_TIMEOUT_S + 2 * TICK_S)
    assert upstream.is_unreachable
    assert len(network.broken) == 1


# An upstream was unreachable, its address may have another owner now, and the server there is full.
def test_a_reset_does_not_bring_an_unreachable_upstream_back(harness, network):
    upstream = harness.publish_upstream("i-1")
    network.refusing.add("i-1")
    suspect(harness, upstream)
    network.run(STEP_S)
    network.refusing.clear()
    network.resetting["i-1"] = ProbeResult.RESET
    network.run(BURST_S)
    assert upstream.is_unreachable


# Connections don't fail falsely: what resets them, fast or slowly, stands before a dead upstream.
@pytest.mark.parametrize("result", [ProbeResult.RESET, ProbeResult.RESET_SLOWLY])
def test_resets_prove_a_death_where_connections_do_not_fail_falsely(result):
    harness = ForwarderHarness()
    harness.publish_routing(1)
    network = Network(harness)
    upstream = harness.publish_upstream("i-1")
    harness.publish_upstream("i-2")
    use(harness, upstream, 1024, 1)
    network.resetting = {"i-1": result}
    suspect(harness, upstream)
    network.run(4 * TICK_S)
    assert upstream.is_unreachable
    assert len(network.broken) == 1


# A release: a draining upstream refuses, accepts again while it is full, and refuses later.
def test_a_reset_ends_the_time_in_which_a_draining_upstream_refuses(harness, network):
    upstream = harness.publish_upstream("i-1", draining=True)
    use(harness, upstream, 1024, 1)
    network.refusing.add("i-1")
    suspect(harness, upstream)
    network.run(DRAIN_FINISHING_S / 2)
    network.refusing.clear()
    network.resetting["i-1"] = ProbeResult.RESET
    network.run(2 * FINISHING_RECHECK_S)
    del network.resetting["i-1"]
    network.refusing.add("i-1")
    suspect(harness, upstream)
    network.run(DRAIN_FINISHING_S / 2)
    assert not upstream.is_unreachable
    network.run(DRAIN_FINISHING_S / 2 + FINISHING_RECHECK_S)
    assert upstream.is_unreachable


# A cut failure domain can be reached again, and its upstreams are full at once.
def test_a_reset_shows_that_a_failure_domain_can_be_reached(harness, network):
    harness.publish_upstream("near")
    far = [harness.publish_upstream(f"i-{number}", domain=OTHER_DOMAIN) for number in range(4)]
    network.delays_s = dict.fromkeys(("i-0", "i-1", "i-2", "i-3"), NEVER_S)
    suspect(harness, far[0])
    network.run(1.0)
    policy = harness.forwarder.policy
    assert policy.is_domain_avoided(OTHER_DOMAIN)
    network.delays_s.clear()
    harness.publish_upstream("i-4", domain=OTHER_DOMAIN)
    network.resetting["i-4"] = ProbeResult.RESET
    network.run(3.0)
    assert not policy.is_domain_avoided(OTHER_DOMAIN)


# A burst: the queue of connections is full for a while, and this entry sees none of the answers.
def test_a_silent_upstream_keeps_its_flows_while_the_others_answer_late(harness, network):
    upstream, other = harness.publish_upstream("i-1"), harness.publish_upstream("i-2")
    run_burst(harness, network, [upstream, other], 1.0)
    network.delays_s["i-1"] = NEVER_S
    run_burst(harness, network, [other], OVERLOAD_CONFIRMATION_S - LATE_S, [upstream])
    assert network.broken == []
    assert not upstream.is_unreachable


# A burst, in which the machine of a busy upstream loses its power, or its process ends.
@pytest.mark.parametrize(
    ("is_refusing", "bound_s"), [(False, PROOF_S), (True, OVERLOAD_SUCCESS_VALID_S + LATE_S)]
)
def test_a_busy_upstream_that_died_is_found_in_time(harness, network, is_refusing, bound_s):
    upstream, other = harness.publish_upstream("i-1"), harness.publish_upstream("i-2")
    run_burst(harness, network, [upstream, other], 1.0)
    suspect(harness, upstream)
    network.run(TICK_S)
    network.delays_s["i-1"] = NEVER_S
    if is_refusing:
        network.refusing.add("i-1")
    run_burst(harness, network, [other], bound_s + LATE_S, [upstream])
    assert upstream.is_unreachable
    assert len(network.broken) >= 1


# The worst overload: no upstream answers any more, and only a reset shows that connections work.
def test_an_overload_is_not_forgotten_when_all_answers_stop(harness, network):
    upstream, other = harness.publish_upstream("i-1"), harness.publish_upstream("i-2")
    run_burst(harness, network, [upstream, other], 1.0)
    network.delays_s["i-1"] = NEVER_S
    network.resetting["i-2"] = ProbeResult.RESET
    run_burst(harness, network, [], OVERLOAD_CONFIRMATION_S - LATE_S, [upstream])
    assert network.broken == []
    assert not upstream.is_unreachable


# A burst ends for all upstreams but one, whose queue is still full.
def test_timeouts_of_an_overload_prove_nothing_soon_after_it(harness, network):
    upstream, other = harness.publish_upstream("i-1"), harness.publish_upstream("i-2")
    run_burst(harness, network, [upstream, other], 1.0)
    network.delays_s["i-1"] = NEVER_S
    run_burst(harness, network, [other], 3 * LATE_S, [upstream])
    for port in range(3000, 3200):
        use(harness, other, port, 1)
        use(harness, other, port, 2)
    run_burst(harness, network, [], OVERLOAD_CONFIRMATION_S - 4 * LATE_S, [upstream])
    assert network.broken == []
    assert not upstream.is_unreachable


# Packet loss on an ordinary day: one request in eight is sent again and then answered at once.
def test_lost_packets_do_not_delay_the_proof_of_a_death(harness, network):
    upstream, other = harness.publish_upstream("i-1"), harness.publish_upstream("i-2")
    use(harness, upstream, 1024, 1)
    for port in range(2000, 2080):
        use(harness, other, port, 1)
        if port % 8 == 0:
            network.run(RETRANSMISSION_S)
            use(harness, other, port, 1)
        network.run(0.01)
        use(harness, other, port, 2)
    network.delays_s["i-1"] = NEVER_S
    run_burst(harness, network, [], 4 * CONNECT_TIMEOUT_S, [upstream])
    assert upstream.is_unreachable


# A burst: a request in a queue is not acknowledged, and is sent again although nothing was lost.
def test_requests_sent_again_in_a_long_queue_are_an_overload():
    assert record(LateResponseDetector(), [0.5] * 10, retransmission_age_s=0.3)


# A slow service: its users are content with responses that would be late elsewhere.
@pytest.mark.parametrize(("target_s", "is_overload"), [(None, True), (0.0, True), (2.0, False)])
def test_a_response_well_within_the_latency_target_is_not_late(target_s, is_overload):
    assert record(LateResponseDetector(), [0.3] * 10, target_s=target_s) is is_overload


# A burst: nearly all requests are late; a probe for each of them would fill the upstreams further.
def test_late_responses_cause_few_probes(harness, network):
    upstreams = [harness.publish_upstream(f"i-{number}") for number in range(10)]
    run_burst(harness, network, upstreams, 1.0)
    network.probes = 0
    run_burst(harness, network, upstreams, BURST_S)
    assert network.probes <= len(upstreams) * (BURST_S / OVERLOAD_SUCCESS_VALID_S + 1)


def record(responses, durations_s, now=1.0, **details):
    """Record responses that come together; return whether there is an overload."""
    for duration_s in durations_s:
        responses.record_response(duration_s, now, **details)
    return responses.is_overloaded(now)


# The last answers of the worst overload: they count for as long as a death needs to be confirmed.
def test_an_overload_lasts_while_nothing_answers():
    responses = LateResponseDetector()
    assert record(responses, [0.3] * 4)
    assert responses.is_overloaded(1.0 + OVERLOAD_CONFIRMATION_S - TICK_S)
    assert not responses.is_overloaded(1.0 + OVERLOAD_CONFIRMATION_S + TICK_S)


# Overloaded upstreams reject most requests at once, so that few responses are late.
def test_one_late_response_in_five_is_an_overload():
    assert record(LateResponseDetector(), ([0.01] * 4 + [0.3]) * 10)


# An ordinary day: one request in fifty takes much longer than the others.
def test_a_long_tail_is_no_overload():
    assert not record(LateResponseDetector(), ([0.01] * 49 + [0.3]) * 4)


# An entry with hardly any traffic: one request that was slow says nothing.
def test_a_single_late_response_is_no_overload():
    assert not record(LateResponseDetector(), [0.3])


# The burst is over: the next timeouts prove a death as quickly as before.
def test_an_overload_is_forgotten():
    responses = LateResponseDetector()
    assert record(responses, [0.3] * 50)
    assert not record(responses, [0.01] * 20, 6.0)

"""Under overload, openings of low priority are refused so that those of higher priority are served.

The feed has the lower priority and bursts; the desk has the higher one and its usual load.
"""

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from chicoryproxy.forwarding.health.domainreachability import DomainReachability
from chicoryproxy.forwarding.health.failuredetector import SUSPICION_FAILURES
from chicoryproxy.forwarding.health.unreachablereports import UnreachableReports
from chicoryproxy.forwarding.load.admission import (
    EVIDENCE_HALF_LIFE_S,
    FLOOR_SHARE,
    PRESSURE_LIMIT,
    PRESSURE_RANGE,
    compute_refused_share,
)
from chicoryproxy.forwarding.load.overload import LATE_RESPONSE_S
from chicoryproxy.forwarding.load.pressure import SAMPLE_INTERVAL_S, PressureEstimator
from chicoryproxy.forwarding.load.priorityshares import (
    AVERAGING_S,
    PRIORITY_RETENTION_S,
    PriorityShares,
)
from chicoryproxy.forwarding.model import FlowId, Refusal, RouteKey, WeightedService
from chicoryproxy.forwarding.peers.peermessages import Heartbeat, LoadReport, PeerAddress
from chicoryproxy.forwarding.view.lifetime import Lifetime
from tests.forwarding.harness import (
    OTHER_DOMAIN,
    OWN_DOMAIN,
    SERVICE,
    ForwarderHarness,
    create_packet,
    create_route,
)

DESK = RouteKey(0xC612_0001, 8080)
FEED = RouteKey(0xC612_0001, 443)
IDLE = RouteKey(0xC612_0009, 443)
SLOTS = 2
UPSTREAMS = 4
OPENINGS = 1000
RESPONSES = 10
KNOWN_PEERS = 20
GOLDEN_RATIO = 0.618034
LATE_S = LATE_RESPONSE_S + 0.01
FAST_S = 0.05
MAX_WRONG_S = 4 * EVIDENCE_HALF_LIFE_S
"""Longest time for which openings are refused although the upstreams answer on time."""


def create_routes(feed_priority=2):
    """Create two routes to one service, and one of a third priority that sees no traffic."""
    targets = (WeightedService(SERVICE, 1.0),)
    return (
        create_route("desk", DESK, targets, 1),
        create_route("feed", FEED, targets, feed_priority),
        create_route("idle", IDLE, targets, 0),
    )


@pytest.fixture
def fleet():
    """A core with admission control, four upstreams, and a desk with a fifth of the work."""
    return create_fleet()


def create_fleet(has_false_health=True, feed_priority=2):
    """Create a core with two routes to four upstreams."""
    fleet = ForwarderHarness(has_false_health)
    fleet.publish_routing(1, create_routes(feed_priority), services=(SERVICE,))
    for number in range(UPSTREAMS):
        fleet.publish_upstream(f"i-{number}", slots=SLOTS)
    answer(fleet, DESK, 2)
    answer(fleet, FEED, 8)
    return fleet


def answer(fleet, route, number):
    """Open flows and answer a request on each."""
    flows = [(caller, *fleet.open_flow(route, caller)) for caller in range(1, number + 1)]
    for caller, upstream, port in flows:
        fleet.send(create_packet(route, caller, port, upstream.mark, 0, 1, 100))
    fleet.now += 0.05
    for caller, upstream, port in flows:
        fleet.send(create_packet(route, caller, port, upstream.mark, 100, 2))
        fleet.send(create_packet(route, caller, port, upstream.mark, 100, 2, is_end=True))


def press(fleet, pressure, upstreams=None, answered_s=LATE_S):
    """Load the upstreams: they answer late, and a peer reports its requests.

    :param pressure: requests per slot of each given upstream or of the own failure domain.
    :param answered_s: time until the upstreams answer, ``None`` if they don't.
    """
    if answered_s is not None:
        record_responses(fleet, answered_s)
    near = [item for item in fleet.directory.iterate_present() if item.entry.domain == OWN_DOMAIN]
    loads = tuple(
        LoadReport(upstream.mark, 0, int(pressure * SLOTS)) for upstream in upstreams or near
    )
    heartbeat = Heartbeat(PeerAddress(1, 0), 1, 0.0, False, loads, (), ())
    fleet.forwarder.flows.peer_loads.handle_heartbeat(heartbeat, fleet.now)
    fleet.now += 2 * SAMPLE_INTERVAL_S


def record_responses(fleet, duration_s):
    """Record responses of a route without priority, which take no part in the shares."""
    route = create_route("other", IDLE, (WeightedService(SERVICE, 1.0),), None)
    for _ in range(RESPONSES):
        fleet.forwarder.admission.record_response(route, SERVICE, duration_s, fleet.now)


def count_refused(fleet, route, number=OPENINGS):
    """Send openings of new flows; return the share that is refused."""
    decisions = [fleet.send_opening(route, caller=index + 2)[0] for index in range(number)]
    assert all(item is Refusal.OVERLOADED or isinstance(item, Lifetime) for item in decisions)
    return decisions.count(Refusal.OVERLOADED) / number


def test_a_burst_of_low_priority_leaves_room_for_the_steady_high_priority(fleet):
    """Burst: the feed presses at a multiple of what the upstreams can do."""
    press(fleet, 5.0)
    assert count_refused(fleet, FEED) == pytest.approx(1.0 - FLOOR_SHARE, abs=0.04)
    assert count_refused(fleet, DESK) == 0.0


def test_below_the_limit_nothing_is_refused(fleet):
    """Usual and high load: each slot is busy, and one request waits for it."""
    press(fleet, PRESSURE_LIMIT)
    assert count_refused(fleet, FEED) == 0.0


def test_own_requests_count(fleet):
    """Burst at a single entry: no peer reports, its own unanswered requests decide."""
    record_responses(fleet, LATE_S)
    for index in range(int(UPSTREAMS * SLOTS * (PRESSURE_LIMIT + PRESSURE_RANGE))):
        upstream, port = fleet.open_flow(DESK, index + 2)
        request = create_packet(DESK, index + 2, port, upstream.mark, 1, 1, 100)
        fleet.send(request)
    fleet.now += 2 * SAMPLE_INTERVAL_S
    assert count_refused(fleet, FEED) > 0.8


def test_nothing_is_refused_once_the_burst_is_over(fleet):
    """Recovery: the pressure falls, the next openings are all admitted."""
    press(fleet, 5.0)
    assert count_refused(fleet, FEED) > 0.8
    press(fleet, 1.0)
    assert count_refused(fleet, FEED) == 0.0


def test_refused_openings_add_no_pressure(fleet):
    """Retries of refused callers: they don't keep the refusals going."""
    press(fleet, 5.0)
    before = len(fleet.forwarder.flows)
    refused = count_refused(fleet, FEED)
    assert len(fleet.forwarder.flows) - before == round(OPENINGS * (1.0 - refused))


def test_a_forwarded_opening_is_never_refused(fleet):
    """Overload between two copies: the first one may have reached an upstream."""
    flows = [(index, fleet.send_opening(FEED, index)[1]) for index in range(2, 200)]
    press(fleet, 9.0)
    for copy in (0, 1, 2):
        for caller, port in flows:
            decision, _ = fleet.send_opening(FEED, caller, port, copy=copy)
            assert isinstance(decision, Lifetime)
        fleet.now += 0.2


def test_a_copy_whose_first_went_elsewhere_is_not_refused(fleet):
    """Rehashed flows: another entry may have forwarded the first copy."""
    press(fleet, 9.0)
    for caller in range(2, 200):
        assert isinstance(fleet.send_opening(FEED, caller, copy=1)[0], Lifetime)


def test_a_late_first_copy_of_an_open_flow_is_not_refused(fleet):
    """Packets duplicated or delayed on the way: the upstream of the flow lives."""
    flows = [(caller, fleet.open_flow(FEED, caller)[1]) for caller in range(2, 200)]
    press(fleet, 9.0)
    for caller, port in flows:
        assert isinstance(fleet.send_opening(FEED, caller, port)[0], Lifetime)


def test_a_new_flow_with_the_ports_of_an_open_one_is_refused(fleet):
    """Ports reused during overload: the opening starts at an unrelated offset."""
    flows = [(caller, fleet.open_flow(FEED, caller)[1]) for caller in range(2, 200)]
    press(fleet, 9.0)
    openings = [
        create_packet(FEED, caller, port, sequence=1 << 30, is_opening=True)
        for caller, port in flows
    ]
    assert [fleet.send(item) for item in openings].count(Refusal.OVERLOADED) > 0.8 * len(flows)


def test_requests_of_open_flows_are_never_refused(fleet):
    """Overload while flows are open: their packets go on."""
    upstream, port = fleet.open_flow(FEED)
    press(fleet, 9.0)
    assert fleet.send(create_packet(FEED, 1, port, upstream.mark, 1, 1, 100)) is upstream


def test_one_priority_in_use_is_served_as_before():
    """Burst of callers of equal priority: there is nobody to prefer."""
    fleet = create_fleet(feed_priority=1)
    press(fleet, 9.0)
    assert count_refused(fleet, FEED) == 0.0


def test_a_route_of_unknown_priority_takes_no_part():
    """Rolling update: an older entry passed on the desk's route without its priority."""
    fleet = create_fleet(feed_priority=1)
    fleet.publish_routing(2, (create_route("desk", DESK, (WeightedService(SERVICE, 1.0),), None),))
    answer(fleet, DESK, 8)
    press(fleet, 9.0)
    assert count_refused(fleet, DESK) == 0.0
    fleet.publish_routing(3, create_routes(feed_priority=1))
    assert count_refused(fleet, FEED) == 0.0


def test_a_priority_without_recent_traffic_does_not_count(fleet):
    """Burst of the feed while the desk is closed: the room is left to nobody else."""
    fleet.advance(PRIORITY_RETENTION_S)
    answer(fleet, FEED, 8)
    press(fleet, 9.0)
    assert count_refused(fleet, FEED) == 0.0


def test_deployments_with_reliable_health_checks_are_protected_too():
    """Burst at a deployment whose settings say nothing of false health."""
    fleet = create_fleet(has_false_health=False)
    press(fleet, 9.0)
    assert count_refused(fleet, FEED) == pytest.approx(1.0 - FLOOR_SHARE, abs=0.04)
    assert count_refused(fleet, DESK) == 0.0


def test_requests_of_lower_priority_do_not_push_out_higher_ones(fleet):
    """Burst of the feed on open flows, which can't be refused, with a still higher priority in use.

    A few openings of an otherwise idle route don't make the desk give way.
    """
    answer(fleet, IDLE, 1)
    press(fleet, 5.0)
    assert count_refused(fleet, DESK) == 0.0
    assert count_refused(fleet, IDLE) == 0.0


def test_high_priority_that_presses_alone_is_refused_for_a_still_higher_one(fleet):
    """Burst of the desk: it has most of the requests, and others have a higher priority."""
    answer(fleet, DESK, 200)
    answer(fleet, IDLE, 20)
    fleet.advance(MAX_WRONG_S)
    press(fleet, 4.0)
    assert count_refused(fleet, DESK) > 0.8
    assert count_refused(fleet, IDLE) == 0.0


def test_counts_are_overruled_by_responses_on_time(fleet):
    """Entries return after an outage: requests whose flows moved away count, upstreams are idle."""
    press(fleet, 9.0, answered_s=FAST_S)
    assert count_refused(fleet, FEED) == 0.0


def test_flows_that_move_to_other_entries_do_not_look_like_overload(fleet):
    """Routers change the set of entries again and again: each time requests get stuck here."""
    for _ in range(20):
        for caller in range(10):
            upstream, port = fleet.open_flow(FEED, caller)
            fleet.send(create_packet(FEED, caller, port, upstream.mark, 0, 1, 100))
        answer(fleet, DESK, 2)
        answer(fleet, FEED, 8)
        fleet.advance(0.05)
    assert get_pressure(fleet) > PRESSURE_LIMIT + PRESSURE_RANGE
    assert count_refused(fleet, FEED) == 0.0


def test_refusals_end_soon_after_the_upstreams_answer_on_time(fleet):
    """Burst that is over while the counts stay wrong: the bound for an estimate that is wrong."""
    press(fleet, 9.0)
    assert count_refused(fleet, FEED) > 0.8
    end = fleet.now + MAX_WRONG_S
    while fleet.now < end:
        record_responses(fleet, FAST_S)
        fleet.advance(0.1)
    press(fleet, 9.0, answered_s=None)
    assert count_refused(fleet, FEED) == 0.0


def test_nothing_is_refused_without_recent_responses(fleet):
    """Upstreams fall silent: that is no evidence of overload, and no refusal lasts."""
    press(fleet, 9.0)
    assert count_refused(fleet, FEED) > 0.8
    fleet.advance(MAX_WRONG_S)
    press(fleet, 9.0, answered_s=None)
    assert count_refused(fleet, FEED) == 0.0


def test_reports_that_are_lost_are_estimated(fleet):
    """Heartbeats of three of four peers lost: those that report stand for the others."""
    fleet.forwarder.flows.peer_loads.live_peers = 3
    press(fleet, (PRESSURE_LIMIT + PRESSURE_RANGE) / 2)
    assert count_refused(fleet, FEED) > 0.8


def test_reports_are_outdated_when_a_link_fails_one_way(fleet):
    """Heartbeats lost one way: old reports end, and own requests decide."""
    press(fleet, 9.0)
    fleet.advance(3.0)
    fleet.forwarder.flows.peer_loads.expire(fleet.now)
    fleet.send_opening(DESK)
    assert count_refused(fleet, FEED) == 0.0


def test_an_entry_that_has_heard_no_peer_admits(fleet):
    """Start in the middle of a burst: no report yet, no request of its own."""
    fleet.forwarder.flows.peer_loads.live_peers = 60
    fleet.now += 2 * SAMPLE_INTERVAL_S
    assert count_refused(fleet, FEED, 10) == 0.0


class CutDomains(DomainReachability):
    """The other failure domain is unreachable."""

    def __init__(self, fleet):
        super().__init__(fleet.directory, 0)

    def is_unreachable(self, domain):
        """Return whether it is the other failure domain."""
        return domain == OTHER_DOMAIN


def test_in_a_partition_only_reachable_upstreams_count(fleet):
    """Partition: idle upstreams beyond the cut offer no room, those at hand are full."""
    for number in range(UPSTREAMS):
        fleet.publish_upstream(f"j-{number}", domain=OTHER_DOMAIN, slots=SLOTS)
    press(fleet, 3.0)
    assert count_refused(fleet, FEED) == 0.0
    estimator = PressureEstimator(
        fleet.directory,
        fleet.forwarder.flows,
        CutDomains(fleet),
        fleet.forwarder.failure_detector,
        UnreachableReports(),
    )
    assert estimator.get(SERVICE, fleet.now) == 3.0


def test_without_an_upstream_the_refusal_is_that_of_placement(fleet):
    """All upstreams lost: there is no room to give by priority."""
    press(fleet, 9.0)
    for number in range(UPSTREAMS):
        fleet.publish_upstream(f"i-{number}", draining=True)
    fleet.advance(60.0)
    assert fleet.send_opening(FEED)[0] is Refusal.NO_UPSTREAM


def test_requests_stuck_at_a_few_upstreams_do_not_count_as_overload(fleet):
    """Usual load while one of four upstreams answers nothing, so that requests pile up there."""
    press(fleet, 50.0, [fleet.find_upstream("i-0")])
    assert count_refused(fleet, FEED) == 0.0


def create_large_fleet(entries, pressures):
    """Create a core that knows the requests of a few peers only, and has none of its own.

    :param pressures: requests of all entries at each upstream, per slot.
    """
    fleet = ForwarderHarness(has_false_health=True)
    fleet.publish_routing(1, create_routes(), services=(SERVICE,))
    share = (KNOWN_PEERS + 1) / entries
    loads = []
    for number, pressure in enumerate(pressures):
        upstream = fleet.publish_upstream(f"i-{number:x}", slots=SLOTS)
        point = (number * GOLDEN_RATIO + 0.5) % 1.0
        loads.append(LoadReport(upstream.mark, 0, draw_count(pressure * SLOTS * share, point)))
    for host in range(1, KNOWN_PEERS + 1):
        beat = Heartbeat(
            PeerAddress(host, 0), 1, 0.0, False, tuple(loads[host - 1 :: KNOWN_PEERS]), (), ()
        )
        fleet.forwarder.flows.peer_loads.handle_heartbeat(beat, fleet.now)
    fleet.forwarder.flows.peer_loads.live_peers = entries - 1
    return fleet


def draw_count(mean, point):
    """Return the quantile of the Poisson distribution at a point between 0 and 1."""
    count, term = 0, math.exp(-mean)
    total = term
    while total <= point:
        count += 1
        term *= mean / count
        total += term
    return count


@pytest.mark.parametrize("entries", [64, 300, 4100])
@pytest.mark.parametrize("pressure", [1.0, 2.0, 3.0, 4.0])
def test_the_pressure_is_estimated_from_a_few_entries_of_a_large_fleet(entries, pressure):
    """Burst at a large fleet: most upstreams have one known request or none."""
    fleet = create_large_fleet(entries, [pressure] * 300)
    assert get_pressure(fleet) == pytest.approx(pressure, rel=0.15)


@pytest.mark.parametrize("entries", [KNOWN_PEERS + 1, 64])
def test_a_third_of_the_upstreams_that_do_not_answer_is_no_overload(entries):
    """Upstreams stuck at the usual load, before anything suspects them."""
    fleet = create_large_fleet(entries, [50.0, 1.0, 1.0] * 100)
    assert get_pressure(fleet) < PRESSURE_LIMIT


def get_pressure(fleet):
    """Return the estimated pressure on the service."""
    flows, domains = fleet.forwarder.flows, DomainReachability(fleet.directory, 0)
    detector = fleet.forwarder.failure_detector
    estimator = PressureEstimator(fleet.directory, flows, domains, detector, UnreachableReports())
    return estimator.get(SERVICE, fleet.now)


def report_unreachable(fleet, upstreams):
    """Let a peer report upstreams."""
    fleet.forwarder.failures.handle_reports([item.mark for item in upstreams], fleet.now)


def suspect(fleet, upstreams):
    """Let callers retransmit to upstreams."""
    for upstream in upstreams:
        for _ in range(SUSPICION_FAILURES):
            fleet.forwarder.failure_detector.record_failure(upstream, fleet.now)


def add_dead_domain(fleet):
    """Add upstreams of another failure domain that have died; half as many as there are."""
    names = [f"j-{number}" for number in range(UPSTREAMS // 2)]
    return [fleet.publish_upstream(name, domain=OTHER_DOMAIN, slots=SLOTS) for name in names]


@pytest.mark.parametrize("record", [report_unreachable, suspect])
def test_a_dead_domain_that_is_not_yet_proved_does_not_count(fleet, record):
    """Failure domain lost, a third of the upstreams: requests pile up there, others have room."""
    dead = add_dead_domain(fleet)
    alive = [item for item in fleet.directory.iterate_present() if item not in dead]
    loads = [LoadReport(upstream.mark, 0, 6 * SLOTS) for upstream in dead]
    loads += [LoadReport(upstream.mark, 0, 3) for upstream in alive]
    fleet.report_peer_load(*loads)
    fleet.now += 2 * SAMPLE_INTERVAL_S
    record(fleet, dead)
    assert count_refused(fleet, FEED) == 0.0
    assert fleet.forwarder.admission.get_highest_pressure() == 1.5


def test_suspected_upstreams_count_if_there_are_no_others(fleet):
    """Overload so high that all upstreams miss answers: they still get the openings."""
    press(fleet, 5.0)
    suspect(fleet, fleet.directory.iterate_present())
    assert count_refused(fleet, FEED) > 0.8


def test_the_inputs_of_a_refusal_are_told(fleet):
    press(fleet, 3.0)
    packet = create_packet(FEED, is_opening=True)
    inputs = fleet.forwarder.find_admission_inputs(packet, fleet.now)
    assert (inputs.service, inputs.priority) == (SERVICE, 2)
    assert inputs.pressure == pytest.approx(3.0)
    assert fleet.forwarder.admission.get_highest_pressure() == 3.0


pressures = st.floats(0.0, 100.0)


@given(pressures, pressures)
def test_the_refused_share_grows_with_pressure_and_keeps_a_floor(first, second):
    low, high = sorted((first, second))
    assert 0.0 <= compute_refused_share(low) <= compute_refused_share(high) <= 1.0 - FLOOR_SHARE


responses = st.lists(st.tuples(st.integers(0, 9), st.floats(0.001, 5.0)), min_size=1)


@given(responses, pressures)
def test_a_higher_priority_is_never_refused_more(responses, pressure):
    shares = PriorityShares()
    for number, (priority, duration_s) in enumerate(responses):
        shares.record_response(SERVICE, priority, duration_s, number * AVERAGING_S / 100)
    now = len(responses) * AVERAGING_S / 100
    in_use = sorted({priority for priority, _ in responses})
    found = [shares.compute_share(SERVICE, priority, now) for priority in in_use]
    refused = [compute_refused_share((share or 0.0) * pressure) for share in found]
    assert found[0] is None
    assert refused == sorted(refused)


def test_the_same_input_gives_the_same_decision():
    """Two entries with the same reports in the middle of the range of pressure."""
    fleets = (create_fleet(), create_fleet())
    for fleet in fleets:
        press(fleet, PRESSURE_LIMIT + PRESSURE_RANGE / 2)
    route = create_routes()[1]
    for number in range(OPENINGS):
        flow = FlowId(number.to_bytes(12, "little"))
        first, second = (item.forwarder.admission.admits(route, flow, item.now) for item in fleets)
        assert first == second

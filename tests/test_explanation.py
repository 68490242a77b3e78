"""Tests of explanations: the core handles packets as the explanation predicts."""

from collections import Counter

import msgspec
import pytest

from chicoryproxy.ids import DomainId
from chicoryproxy.model import Endpoint
from chicoryproxy.protocol.actions import Drop, Forward, ForwardHeld, LogRoute, SendToPeer
from chicoryproxy.protocol.messages import PassedPacket
from chicoryproxy.protocol.packet import FLAG_ACK, FLAG_SYN, hash_flow, parse_packet
from chicoryproxy.routing.explanation import (
    ConditionStep,
    Explanation,
    GenerationStep,
    HoldReason,
    HoldStep,
    OutcomeKind,
    OutcomeStep,
    PacketKind,
    RecordStep,
    ServiceStep,
    SlotStep,
)
from chicoryproxy.routing.flowname import FlowName, FlowNameFault, parse_flow
from chicoryproxy.states import DomainState, DropReason, Protocol, RefusalReason
from chicoryproxy.testing import (
    Segment,
    change_upstreams,
    create_tenggara,
    create_upstream,
    set_domain,
)
from chicoryproxy.testing._fakewire import unpack_segment

START_S = 4.0
FLOW_COUNT = 100
NEW_PORTS = range(50_000, 50_060)
FLAGS = {PacketKind.OPENING: FLAG_SYN, PacketKind.LATER: FLAG_ACK}


@pytest.fixture
def service(tenggara):
    return tenggara.configuration.services[0]


@pytest.fixture
def fleet(tenggara, service):
    fleet = tenggara.create_fleet(1)
    fleet.run(START_S)
    fleet.open_flows(service, FLOW_COUNT, 1.0, 3)
    fleet.run(1.5)
    return fleet


@pytest.fixture
def get_explanation(fleet, service):
    """A function that explains the flow from a caller's port at a node."""
    return create_explainer(fleet, service)


def create_explainer(fleet, service):
    """Return a function that explains the flow from a caller's port at a node."""

    def explain(node, port):
        address = service.addresses[0]
        source = Endpoint("10.99.0.1", port)
        flow = FlowName(Protocol.TCP, source, Endpoint(address.host, address.port))
        return node.core.explain(flow, fleet.now)

    return explain


def pack_packet(flow, kind):
    source = bytes(int(part) for part in flow.source.host.split("."))
    target = bytes(int(part) for part in flow.target.host.split("."))
    ends = (source, flow.source.port, target, flow.target.port)
    return Segment(*ends, FLAGS[kind], 1, 0).pack()


def list_steps(explanation, kind):
    return [step for step in explanation.steps if isinstance(step, kind)]


def describe_actions(actions):
    """Return the outcome kind of the actions for a packet, with its target or reason."""
    for action in actions:
        if isinstance(action, Forward | ForwardHeld):
            return OutcomeKind.FORWARD, action.upstream
        if isinstance(action, SendToPeer) and isinstance(action.message, PassedPacket):
            return OutcomeKind.PASS, action.instance
        if isinstance(action, Drop):
            return OutcomeKind.DROP, action.reason
        if isinstance(action, LogRoute) and isinstance(action.reason, RefusalReason):
            return OutcomeKind.REFUSE, action.reason
    return None, None


def check_predictions(fleet, get_explanation, ports):
    """Compare each node's predictions with its actions; return the kinds that were predicted."""
    seen = Counter()
    for node in fleet.nodes.values():
        for port in ports:
            kind = PacketKind.LATER if port % 2 else PacketKind.OPENING
            explanation = get_explanation(node, port)
            assert get_explanation(node, port) == explanation
            outcomes = list_steps(explanation, OutcomeStep)
            outcome = next(item for item in outcomes if item.packet is kind)
            packet = pack_packet(explanation.flow, kind)
            actions = node.core.receive_packet(packet, ("caller", 0), fleet.now)
            check_outcome(outcome, *describe_actions(actions))
            seen[outcome.kind] += 1
    return seen


def check_outcome(outcome, kind, subject):
    if outcome.kind in (OutcomeKind.FORWARD, OutcomeKind.PASS):
        assert (kind, subject) == (outcome.kind, outcome.target)
    elif outcome.kind in (OutcomeKind.DROP, OutcomeKind.REFUSE):
        assert (kind, subject) == (outcome.kind, outcome.drop or outcome.refusal)
    elif outcome.kind is OutcomeKind.ASK_PEERS:
        assert kind is None
    elif outcome.kind is OutcomeKind.ELSEWHERE:
        assert subject != outcome.target
    else:
        assert outcome.kind is OutcomeKind.ASK_OWNER
        assert kind is not OutcomeKind.PASS


def test_predicts_packets_of_an_unchanged_fleet(fleet, get_explanation):
    seen = check_predictions(fleet, get_explanation, NEW_PORTS)
    assert seen[OutcomeKind.FORWARD] > 0


def test_predicts_packets_while_an_upstream_is_added(fleet, service, get_explanation):
    new = create_upstream("qa-desk", 1, 7, service.upstreams[1].domain)
    configuration = fleet.platform.served
    fleet.publish(change_upstreams(configuration, service.id, (*service.upstreams, new)))
    fleet.run(2.0)
    seen = check_predictions(fleet, get_explanation, NEW_PORTS)
    assert seen[OutcomeKind.FORWARD] > 0
    assert seen[OutcomeKind.PASS] > 0
    assert seen[OutcomeKind.ASK_OWNER] + seen[OutcomeKind.ASK_PEERS] > 0


def test_predicts_packets_of_a_domain_that_is_out(fleet, get_explanation):
    fleet.publish(set_domain(fleet.platform.served, DomainId("port-klang"), DomainState.OUT))
    fleet.run(2.0)
    seen = check_predictions(fleet, get_explanation, NEW_PORTS)
    assert seen[OutcomeKind.REFUSE] > 0


def test_predicts_packets_of_flows_on_an_upstream_that_is_removed(fleet, service, get_explanation):
    drained = msgspec.structs.replace(service.upstreams[0], draining=True)
    upstreams = (drained, *service.upstreams[1:])
    fleet.publish(change_upstreams(fleet.platform.served, service.id, upstreams))
    fleet.run(2.0)
    check_predictions(fleet, get_explanation, NEW_PORTS)
    fleet.run(2.0)
    fleet.publish(change_upstreams(fleet.platform.served, service.id, service.upstreams[1:]))
    fleet.run(1.0)
    seen = check_predictions(fleet, get_explanation, NEW_PORTS)
    assert seen[OutcomeKind.PASS] > 0
    assert seen[OutcomeKind.REFUSE] > 0


def test_predicts_packets_of_flows_with_records_that_are_not_recent():
    deployment = create_tenggara(idle_timeout_s=60.0)
    service = deployment.configuration.services[0]
    fleet = deployment.create_fleet(1)
    fleet.run(START_S)
    drained = msgspec.structs.replace(service.upstreams[0], draining=True)
    upstreams = (drained, *service.upstreams[1:])
    fleet.publish(change_upstreams(fleet.platform.served, service.id, upstreams))
    fleet.run(4.0)
    explain = create_explainer(fleet, service)
    for node in fleet.nodes.values():
        for port in NEW_PORTS:
            packet = pack_packet(explain(node, port).flow, PacketKind.OPENING)
            fleet.inject(node.instance.id, unpack_segment(packet))
        fleet.run(0.3)
    recent = check_predictions(fleet, explain, NEW_PORTS)
    fleet.run(8.0)
    old = check_predictions(fleet, explain, NEW_PORTS)
    assert recent[OutcomeKind.PASS] == 0
    assert old[OutcomeKind.PASS] > 0


def test_lists_the_candidates_of_a_contested_slot(fleet, service, get_explanation):
    drained = msgspec.structs.replace(service.upstreams[0], draining=True)
    upstreams = (drained, *service.upstreams[1:])
    fleet.publish(change_upstreams(fleet.platform.served, service.id, upstreams))
    fleet.run(2.0)
    node = next(iter(fleet.nodes.values()))
    found = [get_explanation(node, port) for port in NEW_PORTS]
    holds = [(item, list_steps(item, HoldStep)[0]) for item in found]
    contested = [item for item, hold in holds if hold.reason is HoldReason.SEVERAL_CANDIDATES]
    bases = {list_steps(item, HoldStep)[0].candidates[0] for item in contested}
    assert drained.id in bases
    for item in contested:
        hold = list_steps(item, HoldStep)[0]
        placements = [step.upstream for step in list_steps(item, GenerationStep)]
        assert hold.candidates[-1] != drained.id
        assert placements == list(hold.candidates)
        assert hold.contested_s > 0
        assert {step.upstream for step in list_steps(item, ConditionStep)} >= set(hold.candidates)


def test_explains_an_address_without_a_service(fleet):
    node = next(iter(fleet.nodes.values()))
    flow = parse_flow("tcp 10.0.0.1:1024 192.0.2.1:9")
    explanation = node.core.explain(flow, fleet.now)
    assert list_steps(explanation, ServiceStep)[0].service is None
    assert list_steps(explanation, OutcomeStep)[0].drop is DropReason.UNKNOWN_SERVICE


def test_explains_an_entry_without_a_view(tenggara):
    fleet = tenggara.create_fleet(1)
    node = next(iter(fleet.nodes.values()))
    flow = parse_flow("tcp 10.0.0.1:1024 198.51.100.1:443")
    (outcome,) = list_steps(node.core.explain(flow, fleet.now), OutcomeStep)
    actions = node.core.receive_packet(pack_packet(flow, outcome.packet), ("caller", 0), fleet.now)
    assert describe_actions(actions) == (OutcomeKind.DROP, outcome.drop)
    assert outcome.drop is DropReason.NO_VIEW


def test_explains_before_the_first_packet_without_an_effect(tenggara, service):
    fleet = tenggara.create_fleet(1)
    fleet.run(START_S)
    node = next(iter(fleet.nodes.values()))
    address = service.addresses[0]
    flow = parse_flow(f"tcp 10.0.0.1:1024 {address.host}:{address.port}")
    explanation = node.core.explain(flow, fleet.now)
    assert list_steps(explanation, HoldStep)[0].reason is HoldReason.AWAITS_RELEASE
    assert list_steps(explanation, RecordStep)[0].upstream is None
    assert node.core.describe().services == ()


def test_explanation_round_trips_through_json(fleet, get_explanation):
    explanation = get_explanation(next(iter(fleet.nodes.values())), 50_000)
    text = msgspec.json.encode(explanation)
    assert msgspec.json.decode(text, type=Explanation) == explanation


def test_explanation_has_the_flow_key_of_its_packets(fleet, get_explanation):
    explanation = get_explanation(next(iter(fleet.nodes.values())), 50_000)
    head = parse_packet(pack_packet(explanation.flow, PacketKind.OPENING))
    assert list_steps(explanation, SlotStep)[0].flow == hash_flow(head)


@pytest.mark.parametrize(
    ("text", "fault"),
    [
        ("", FlowNameFault.PARTS),
        ("sctp 10.0.0.1:1 10.0.0.2:2", FlowNameFault.PROTOCOL),
        ("tcp caller:1 10.0.0.2:2", FlowNameFault.SOURCE),
        ("tcp 10.0.0.1:1 10.0.0.2", FlowNameFault.TARGET),
        ("tcp 10.0.0.1:1 [2001:db8::1]:2", FlowNameFault.FAMILIES),
    ],
)
def test_invalid_flow_names_are_refused(text, fault):
    assert parse_flow(text) is fault


def test_flow_name_round_trips():
    text = "udp [2001:db8::1]:1024 [2001:db8::2]:53"
    assert str(parse_flow(text)) == text

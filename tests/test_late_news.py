"""Tests of news that arrives late, out of order, or from a sender that lacks part of it."""

import itertools
from collections.abc import Iterable

import msgspec
import pytest

from chicoryproxy.control.catchup import CatchUpState
from chicoryproxy.control.conditions import ConditionStore
from chicoryproxy.control.outbox import Outbox
from chicoryproxy.control.versions import EMPTY_CONFIGURATION, VersionChange, VersionStore
from chicoryproxy.ids import InstanceId, UpstreamId, Version
from chicoryproxy.model import MAX_GENERATIONS, Configuration, Instance, UpstreamCondition
from chicoryproxy.protocol.actions import Forward, ReturnPacket, SendToPeer
from chicoryproxy.protocol.budget import ControlBudget
from chicoryproxy.protocol.events import InstancesRead
from chicoryproxy.protocol.messages import (
    FlowAnswer,
    FlowHints,
    FlowQuery,
    FlowRecord,
    Gossip,
    Grant,
    Handover,
    Member,
    PassedPacket,
    Ping,
    SlotActivity,
    SlotName,
    SlotQuery,
    SlotQuestion,
    SlotRelease,
    SlotReport,
    VersionBody,
    ViewUpdate,
)
from chicoryproxy.protocol.packet import FLAG_ACK, FLAG_SYN, PacketHeader, hash_flow, parse_packet
from chicoryproxy.routing.agreement import ReleasableSlot, create_release_agreement
from chicoryproxy.routing.grants import GrantHolder
from chicoryproxy.routing.handover import create_handover_queue
from chicoryproxy.routing.homes import create_home_directory
from chicoryproxy.routing.router import PacketCore, create_packet_core
from chicoryproxy.routing.takeover import create_take_over
from chicoryproxy.states import MemberState, UpstreamState
from chicoryproxy.testing import (
    Deployment,
    FlowOutcome,
    Segment,
    change_upstreams,
    create_tenggara,
    create_upstream,
)
from tests.control_net import DOMAINS, ControlNet, make_configuration, make_instance, make_upstream

CALLER = ("10.1.1.1", 0)
PORTS = range(2000, 2200)
START_S = 4.0


def build_data_packet(port: int) -> bytes:
    """Build a data packet of an open flow to the service qa-desk."""
    return Segment(b"\x0a\x01\x01\x01", port, b"\xc6\x33\x64\x01", 443, FLAG_ACK).pack()


def build_update(
    configuration: Configuration, instances: Iterable[Instance], number: int = 1
) -> ViewUpdate:
    """Build the view of a process that has started with a configuration."""
    store = VersionStore()
    store.adopt(configuration, 0.0)
    members = tuple(Member(instance, MemberState.ALIVE) for instance in instances)
    generations = store.list_generations()
    version = configuration.version
    return ViewUpdate(number, configuration, generations, members, (), version, version, False)


def create_core(deployment: Deployment, peers: int = 0) -> PacketCore:
    """Create the core of the deployment's first instance, with a view of some peers."""
    own = deployment.instances[0]
    core = create_packet_core(own.id, own.domain, own.region)
    core.update_view(build_update(deployment.configuration, deployment.instances[: peers + 1]), 0.0)
    return core


def list_targets(core: PacketCore, now: float) -> list[UpstreamId]:
    """Return the upstreams that data packets of unknown flows are forwarded to."""
    actions = [
        action
        for port in PORTS
        for action in core.receive_packet(build_data_packet(port), CALLER, now)
    ]
    return [action.upstream for action in actions if isinstance(action, Forward)]


def test_view_restarted_with_an_older_version_moves_no_flow() -> None:
    deployment = create_tenggara()
    service = deployment.configuration.services[0]
    added = create_upstream("qa-desk", 1, 7, service.upstreams[0].domain)
    newer = change_upstreams(deployment.configuration, service.id, (*service.upstreams, added))
    own = deployment.instances[:1]
    core = create_packet_core(own[0].id, own[0].domain, own[0].region)
    core.update_view(build_update(newer, own), 0.0)
    before = list_targets(core, 0.1)
    core.update_view(build_update(deployment.configuration, own), 0.2)
    assert len(before) == len(PORTS)
    assert list_targets(core, 0.3) == before


def test_view_restarted_without_older_generations_moves_no_flow() -> None:
    deployment = create_tenggara()
    service = deployment.configuration.services[0]
    drained = msgspec.structs.replace(service.upstreams[0], draining=True)
    upstreams = (drained, *service.upstreams[1:])
    newer = change_upstreams(deployment.configuration, service.id, upstreams)
    own = deployment.instances[:1]
    targets = []
    for restarts in (False, True):
        core = create_packet_core(own[0].id, own[0].domain, own[0].region)
        core.update_view(build_update(deployment.configuration, own), 0.0)
        core.receive_packet(build_data_packet(PORTS[0]), CALLER, 0.1)
        first = build_update(deployment.configuration, own).generations
        update = build_update(newer, own)
        known = msgspec.structs.replace(update, generations=(*first, *update.generations))
        core.update_view(known, 0.2)
        if restarts:
            core.update_view(update, 0.3)
        targets.append(list_targets(core, 0.4))
    assert len(targets[0]) == len(PORTS)
    assert targets[1] == targets[0]


def find_record(core: PacketCore, deployment: Deployment) -> tuple[SlotName, FlowRecord]:
    """Return a flow on another upstream than the base of its slot, and the slot."""
    service = deployment.configuration.services[0]
    head = parse_packet(build_data_packet(PORTS[0]))
    assert isinstance(head, PacketHeader)
    flow = hash_flow(head)
    reference = create_core(deployment)
    reference.receive_packet(build_data_packet(PORTS[0]), CALLER, 0.0)
    slots = reference.built_slots()[0]
    slot = slots.name(slots.slot_of(flow))
    other = next(item.id for item in service.upstreams if item.id != slots.base(slot.slot))
    return slot, FlowRecord(flow, service.id, other)


def list_messages(actions: Iterable[object]) -> list[object]:
    return [action.message for action in actions if isinstance(action, SendToPeer)]


def test_successor_without_packets_answers_a_new_home_with_its_records(
    tenggara: Deployment,
) -> None:
    core = create_core(tenggara, peers=2)
    slot, record = find_record(core, tenggara)
    home, new_home = (instance.id for instance in tenggara.instances[1:3])
    core.receive_message(home, FlowHints((record,)), 0.1)
    query = FlowQuery(1, (SlotQuestion(slot, UpstreamId("")),))
    (answer,) = list_messages(core.receive_message(new_home, query, 0.2))
    assert isinstance(answer, FlowAnswer)
    assert answer.records == (record,)


def test_of_two_instances_that_query_each_other_the_first_one_answers_later(
    tenggara: Deployment,
) -> None:
    core = create_core(tenggara, peers=2)
    core.receive_packet(build_data_packet(PORTS[0]), CALLER, 0.0)
    slot = core.built_slots()[0].name(find_record(core, tenggara)[0].slot)
    core._context.take_over.request_refresh([SlotQuestion(slot, UpstreamId(""))])
    core._context.take_over.start_query([tenggara.instances[1].id], 0.1)
    query = FlowQuery(1, (SlotQuestion(slot, UpstreamId("")),))
    later, first = tenggara.instances[1].id, InstanceId("a")
    assert core._context.own < later
    messages = list_messages(core.receive_message(later, query, 0.11))
    assert not any(isinstance(message, FlowAnswer) for message in messages)
    messages = list_messages(core.receive_message(first, query, 0.11))
    assert any(isinstance(message, FlowAnswer) for message in messages)
    assert not core._context.take_over.is_querying([slot])


def test_successor_without_packets_reports_its_live_flow_before_a_release(
    tenggara: Deployment,
) -> None:
    core = create_core(tenggara, peers=2)
    slot, record = find_record(core, tenggara)
    home, new_home = (instance.id for instance in tenggara.instances[1:3])
    core.receive_message(home, FlowHints((record,)), 0.1)
    (report,) = list_messages(core.receive_message(new_home, SlotQuery(1, (slot,)), 0.2))
    assert isinstance(report, SlotReport)
    assert [activity.live for activity in report.activities] == [True]


@pytest.fixture
def take_over_question(tenggara: Deployment) -> SlotQuestion:
    slot = find_record(create_core(tenggara), tenggara)[0]
    return SlotQuestion(slot, UpstreamId(""))


def test_answer_to_the_process_before_a_restart_completes_no_query(
    take_over_question: SlotQuestion,
) -> None:
    peers = [InstanceId("entry-2")]
    before, after = create_take_over(), create_take_over()
    numbers = []
    for take_over, now in ((before, 10.0), (after, 20.0)):
        take_over.request_refresh([take_over_question])
        (query,) = list_messages(take_over.start_query(peers, now))
        assert isinstance(query, FlowQuery)
        numbers.append(query.query)
    after.receive_answer(peers[0], FlowAnswer(numbers[0], ()))
    after.finish_query(20.01)
    assert not after.has_all_records(take_over_question.slot)


def test_report_that_leaves_a_slot_out_releases_nothing(
    tenggara: Deployment, take_over_question: SlotQuestion
) -> None:
    own, peer = tenggara.instances[:2]
    directory = create_home_directory(own.id, own.domain, own.region)
    directory.update([Member(own, MemberState.ALIVE), Member(peer, MemberState.ALIVE)])
    agreement = create_release_agreement(directory)
    release = SlotRelease(take_over_question.slot, Version(1), 0)
    (query,) = list_messages(agreement.start_query([ReleasableSlot(release, 5.0)], 10.0))
    assert isinstance(query, SlotQuery)
    other = msgspec.structs.replace(release.slot, slot=release.slot.slot ^ 1)
    activity = SlotActivity(other, Version(1), False)
    agreement.receive_report(peer.id, SlotReport(query.query, (activity,)))
    assert list(agreement.finish_query(12.0)) == []


def test_instance_that_answers_is_not_removed_by_the_news_of_a_healed_partition() -> None:
    net = ControlNet(12)
    net.run(5.0)
    left = {entry.id for entry in net.instances[::3]}
    newest = net.instances[0]
    peers = sorted(left - {newest.id})
    net.is_dropped = lambda sender, target: (sender in left) != (target in left)
    net.run(10.0)
    for id_ in sorted(net.watching - left):
        net.call(id_, "receive_reading", InstancesRead(tuple(net.instances[1:])))
    net.run(5.0)
    net.is_dropped = lambda sender, target: False
    missed = 0
    for _ in range(200):
        net.run(0.1)
        missed += sum(net.get_state(id_, newest.id) is None for id_ in peers)
    assert missed == 0
    assert all(net.get_state(id_, newest.id) is MemberState.ALIVE for id_ in net.cores)


def make_history(net: ControlNet) -> None:
    """Publish three versions with different members."""
    for version, count in [(1, 3), (2, 4), (3, 5)]:
        upstreams = [make_upstream(index, DOMAINS[index % 3]) for index in range(count)]
        net.publish(make_configuration(version, upstreams))
        net.run(2.0)


@pytest.mark.parametrize("seed", range(1, 11))
def test_instances_that_join_together_do_not_take_each_other_for_complete(seed: int) -> None:
    net = ControlNet(6, seed)
    make_history(net)
    newcomers = [make_instance(index) for index in range(20, 32)]
    net.instances += newcomers
    net.publish_list(net.instances)
    for newcomer in newcomers:
        net.start(newcomer)
    net.run(2.5)
    known = {
        newcomer.id: [entry.version for entry in net.views[newcomer.id].generations]
        for newcomer in newcomers
    }
    assert known == dict.fromkeys(known, [1, 2, 3])


def test_answer_from_before_a_skip_is_not_taken_for_the_skipped_versions() -> None:
    net = ControlNet(4)
    make_history(net)
    skipping, *peers = (entry.id for entry in net.instances)
    net.is_dropped = lambda sender, target: target == skipping
    net.publish(make_configuration(9))
    for peer in peers:
        net.call(skipping, "receive_message", peer, Ping(1, Gossip(Version(8))))
        body = VersionBody(EMPTY_CONFIGURATION, (), (net.cores[peer].get_instance(peer),), ())
        net.call(skipping, "receive_message", peer, body)
    assert net.cores[skipping].describe().catch_up is CatchUpState.FETCHING


def test_pushed_instances_are_no_answer_to_a_joining_instance() -> None:
    net = ControlNet(6)
    make_history(net)
    newcomer, other = make_instance(20), make_instance(21)
    net.instances.append(newcomer)
    net.publish_list(net.instances)
    net.is_dropped = lambda sender, target: target == newcomer.id
    net.start(newcomer)
    net.run(0.2)
    push = VersionBody(EMPTY_CONFIGURATION, (), (other,), ())
    for entry in net.instances[:3]:
        net.call(newcomer.id, "receive_message", entry.id, push)
    assert net.cores[newcomer.id].describe().catch_up is CatchUpState.JOINING


def test_idle_flows_stay_on_their_upstream_through_more_changes_than_generations_are_kept() -> None:
    deployment = create_tenggara(idle_timeout_s=300.0)
    service = deployment.configuration.services[0]
    fleet = deployment.create_fleet()
    fleet.run(START_S)
    flows = fleet.open_flows(service, 300, 4.0, rounds=1, interval_s=30.0)
    fleet.run(6.0)
    for change in range(MAX_GENERATIONS + 4):
        upstreams = [
            msgspec.structs.replace(item, weight=1 + (change + number) % 3)
            for number, item in enumerate(service.upstreams)
        ]
        fleet.publish(change_upstreams(fleet.platform.served, service.id, upstreams))
        fleet.run(1.0)
    fleet.run(45.0)
    assert fleet.count(flows) == {FlowOutcome.DONE: len(flows)}


def test_grant_to_the_process_before_a_restart_is_no_lease() -> None:
    upstream = UpstreamId("qa-desk-0")
    before, after = GrantHolder(), GrantHolder()
    former = before.next_request(upstream, 10.0)
    assert former is not None
    assert after.next_request(upstream, 20.0) is not None
    assert not after.receive(Grant(former.request, upstream, 5, 1.0), 20.1)


def test_acknowledgement_of_the_process_before_a_restart_issues_no_release(
    take_over_question: SlotQuestion,
) -> None:
    peer = InstanceId("entry-2")
    release = SlotRelease(take_over_question.slot, Version(1), 0)
    before, after = create_handover_queue(), create_handover_queue()
    (former,) = list_messages(before.add(peer, (), (release,), 10.0))
    assert isinstance(former, Handover)
    after.add(peer, (), (release,), 20.0)
    assert list(after.acknowledge(former.number, peer)) == []


def is_passed(actions: Iterable[object]) -> bool:
    """Return whether a packet was passed to the home of its slot."""
    return any(isinstance(message, PassedPacket) for message in list_messages(actions))


def build_syn_ack(port: int) -> bytes:
    """Build the answer of an upstream to an opening from a port."""
    flags = FLAG_SYN | FLAG_ACK
    return Segment(b"\xc6\x33\x64\x01", 443, b"\x0a\x01\x01\x01", port, flags, 1, 1).pack()


def test_flow_answered_from_a_reused_address_is_not_reset_after_the_next_version() -> None:
    deployment = create_tenggara()
    service = deployment.configuration.services[0]
    replaced = service.upstreams[0]
    renamed = msgspec.structs.replace(replaced, id=UpstreamId("qa-desk-9"))
    upstreams = (*service.upstreams[1:], renamed)
    newer = change_upstreams(deployment.configuration, service.id, upstreams)
    core = create_core(deployment, peers=2)
    source = (replaced.address.host, replaced.address.port)
    ports = [
        port
        for port in PORTS
        if is_passed(core.receive_packet(build_data_packet(port), CALLER, 0.1))
    ]
    for port in ports:
        core.receive_packet(build_syn_ack(port), source, 0.2)
    core.update_view(build_update(newer, deployment.instances[:3]), 0.3)
    actions = [core.receive_packet(build_data_packet(port), CALLER, 0.4) for port in ports]
    assert actions
    assert all(is_passed(item) for item in actions)
    assert not any(isinstance(action, ReturnPacket) for item in actions for action in item)


def test_answers_of_another_upstream_do_not_keep_the_record_of_a_former_flow(
    tenggara: Deployment,
) -> None:
    core = create_core(tenggara, peers=2)
    service = tenggara.configuration.services[0]
    former, other = service.upstreams[:2]
    ports = [
        port
        for port in PORTS
        if is_passed(core.receive_packet(build_data_packet(port), CALLER, 0.1))
    ]
    for port in ports:
        core.receive_packet(build_syn_ack(port), (former.address.host, former.address.port), 0.2)
    for peer in tenggara.instances[1:3]:
        core.receive_message(peer.id, FlowHints(()), 9.0)
    for port in ports:
        answer = Segment(b"\xc6\x33\x64\x01", 443, b"\x0a\x01\x01\x01", port, FLAG_ACK).pack()
        core.receive_packet(answer, (other.address.host, other.address.port), 9.0)
    actions = [core.receive_packet(build_data_packet(port), CALLER, 9.1) for port in ports]
    assert actions
    assert all(is_passed(item) for item in actions)


def test_flow_that_reuses_a_port_is_not_sent_to_the_upstream_of_the_former_flow() -> None:
    deployment = create_tenggara(idle_timeout_s=60.0)
    service = deployment.configuration.services[0]
    fleet = deployment.create_fleet()
    fleet.run(START_S)
    upstreams = list(service.upstreams)
    outcomes = []
    for draining in (2, 3):
        upstreams[draining] = msgspec.structs.replace(upstreams[draining], draining=True)
        fleet.publish(change_upstreams(fleet.platform.served, service.id, upstreams))
        fleet.run(4.0)
        fleet._next_flow_number = 0
        flows = fleet.open_flows(service, 800, 4.0, rounds=2, interval_s=0.5)
        fleet.run(9.0 if draining == 2 else 30.0)
        outcomes.append(fleet.count(flows))
    assert outcomes == [{FlowOutcome.DONE: 800}, {FlowOutcome.DONE: 800}]


@pytest.mark.parametrize("is_listed_first", [True, False])
@pytest.mark.parametrize("is_reversed", [True, False])
def test_conditions_end_equal_in_whatever_order_they_arrive(
    is_listed_first: bool, is_reversed: bool
) -> None:
    upstream = make_upstream(0, DOMAINS[0])
    news = [
        UpstreamCondition(upstream.id, UpstreamState.READY, 1),
        UpstreamCondition(upstream.id, UpstreamState.COLD, 3),
        UpstreamCondition(upstream.id, UpstreamState.WARMING, 3),
        UpstreamCondition(upstream.id, UpstreamState.SHEDDING, 2),
    ]
    store = ConditionStore(Outbox(ControlBudget(4096.0)))
    change = VersionChange(EMPTY_CONFIGURATION, make_configuration(1, [upstream]))
    if is_listed_first:
        store.apply_change(change, 0.0)
    for condition in reversed(news) if is_reversed else news:
        store.receive((condition,), 1.0)
    if not is_listed_first:
        store.apply_change(change, 2.0)
    known = store.get(upstream.id)
    assert known is not None
    assert (known.state, known.epoch) == (UpstreamState.COLD, 3)


def test_condition_from_before_an_upstream_was_removed_does_not_return_with_it() -> None:
    upstream = make_upstream(0, DOMAINS[0])
    store = ConditionStore(Outbox(ControlBudget(4096.0)))
    versions = [EMPTY_CONFIGURATION, make_configuration(1, [upstream])]
    versions += [make_configuration(2, []), make_configuration(3, [upstream])]
    late = UpstreamCondition(upstream.id, UpstreamState.READY, 9)
    for previous, current in itertools.pairwise(versions):
        store.apply_change(VersionChange(previous, current), float(current.version))
        store.receive((late,), float(current.version))
    known = store.get(upstream.id)
    assert known is not None
    assert known.state is UpstreamState.COLD

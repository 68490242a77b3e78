"""Tests of the flow table."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from chicoryproxy.routing.flowtable import (
    CLOSING_TIMEOUT_S,
    HALF_OPEN_TIMEOUT_S,
    MAX_SHARDS_PER_EXPIRY,
    SHARD_COUNT,
    TICK_S,
    FlowFlag,
    FlowTable,
    unpack_state,
    upstream_number,
)
from chicoryproxy.states import DropReason

ESTABLISHED = FlowFlag(0)


@pytest.fixture
def table():
    return FlowTable(capacity=8, idle_timeout_s=60.0)


def expire_all(table, now):
    calls = SHARD_COUNT // MAX_SHARDS_PER_EXPIRY
    return sum(table.expire(now, limit=10**9) for _ in range(calls))


def test_a_record_is_found_again(table):
    table.record(2**64 - 1, 23_999, FlowFlag.OPENED_HERE | FlowFlag.HALF_OPEN, 0.0)
    state = table.find(2**64 - 1)
    assert upstream_number(state) == 23_999
    assert unpack_state(state).flags == FlowFlag.OPENED_HERE | FlowFlag.HALF_OPEN
    assert table.find(1) is None


def test_an_idle_flow_expires_and_an_active_one_stays(table):
    table.record(1, 0, ESTABLISHED, 0.0)
    table.record(2, 0, ESTABLISHED, 0.0)
    table.touch(2, 40.0)
    assert expire_all(table, 60.0) == 0
    assert expire_all(table, 60.0 + 2 * TICK_S) == 1
    assert table.find(1) is None
    assert table.find(2) is not None


def test_an_upstream_may_have_its_own_idle_timeout(table):
    table.set_idle_timeout(5, 600.0)
    table.record(1, 5, ESTABLISHED, 0.0)
    assert expire_all(table, 500.0) == 0
    assert expire_all(table, 600.0 + 2 * TICK_S) == 1


@pytest.mark.parametrize(
    ("flag", "timeout_s"),
    [(FlowFlag.HALF_OPEN, HALF_OPEN_TIMEOUT_S), (FlowFlag.CLOSING, CLOSING_TIMEOUT_S)],
)
def test_half_open_and_closing_flows_expire_sooner(table, flag, timeout_s):
    table.record(1, 0, flag, 0.0)
    assert expire_all(table, timeout_s) == 0
    assert expire_all(table, timeout_s + 2 * TICK_S) == 1


@pytest.mark.parametrize("start_s", [0.0, 3.9, 65_536 * TICK_S - 0.1])
def test_a_record_is_no_longer_recent_once_a_closing_flow_may_have_expired(table, start_s):
    table.record(1, 5, ESTABLISHED, start_s)
    assert table.is_recent(1, start_s + TICK_S)
    assert not table.is_recent(1, start_s + CLOSING_TIMEOUT_S)
    table.touch(1, start_s + CLOSING_TIMEOUT_S)
    assert table.is_recent(1, start_s + CLOSING_TIMEOUT_S)
    assert not table.is_recent(2, start_s)


def test_setting_flags_ends_the_half_open_state(table):
    table.record(1, 3, FlowFlag.HALF_OPEN | FlowFlag.OPENED_HERE, 0.0)
    table.set_flags(1, FlowFlag.CLOSING, 1.0)
    state = unpack_state(table.find(1))
    assert state.number == 3
    assert state.flags == FlowFlag.OPENED_HERE | FlowFlag.CLOSING


def test_a_full_table_evicts_half_open_flows_first(table):
    table.record(1, 0, FlowFlag.HALF_OPEN, 0.0)
    table.set_flags(1, ESTABLISHED, 0.0)
    for flow in range(2, 9):
        table.record(flow, 0, FlowFlag.HALF_OPEN, 0.0)
    assert table.record(100, 0, ESTABLISHED, 1.0) is None
    assert table.find(1) is not None
    assert table.find(2) is None
    assert len(table) == 8


def test_a_table_of_established_flows_refuses_a_record(table):
    for flow in range(8):
        table.record(flow, 0, ESTABLISHED, 0.0)
    assert table.record(100, 0, FlowFlag.HALF_OPEN, 0.0) is DropReason.FLOW_TABLE_FULL
    assert table.record(3, 1, ESTABLISHED, 0.0) is None


@pytest.mark.parametrize("size", [512, SHARD_COUNT, 4096])
def test_the_flows_of_a_slot_are_found(size):
    table = FlowTable(capacity=100_000)
    for flow in range(0, 20_000, 7):
        table.record(flow, 0, ESTABLISHED, 0.0)
    expected = {flow for flow in range(0, 20_000, 7) if flow & (size - 1) == 9}
    assert {flow for flow, _ in table.flows_of(9, size)} == expected


def test_one_call_scans_a_bounded_number_of_records():
    table = FlowTable(capacity=100_000)
    for flow in range(50_000):
        table.record(flow, 0, FlowFlag.CLOSING, 0.0)
    assert 0 < table.expire(1000.0, limit=100) <= 100 + 50_000 // SHARD_COUNT + 1


class FlowTableMachine(RuleBasedStateMachine):
    """Compares the table with a dictionary while it holds fewer records than its capacity."""

    def __init__(self):
        super().__init__()
        self.table = FlowTable(capacity=64)
        self.expected = {}

    @rule(flow=st.integers(0, 40).map(lambda value: value * 512), number=st.integers(0, 9))
    def record(self, flow, number):
        self.table.record(flow, number, ESTABLISHED, 0.0)
        self.expected[flow] = number

    @rule(flow=st.integers(0, 40).map(lambda value: value * 512))
    def remove(self, flow):
        self.table.remove(flow)
        self.expected.pop(flow, None)

    @invariant()
    def holds_the_same(self):
        assert len(self.table) == len(self.expected)
        for flow, number in self.expected.items():
            assert upstream_number(self.table.find(flow)) == number


TestFlowTable = FlowTableMachine.TestCase
TestFlowTable.settings = settings(derandomize=True, max_examples=25, deadline=None)


def test_one_call_scans_a_bounded_number_of_shards(table):
    table.record(SHARD_COUNT - 1, 0, FlowFlag(0), 0.0)
    assert table.expire(10_000.0, limit=10**9) == 0


def test_a_renewed_record_is_imported_until_its_next_packet(table):
    table.record(1, 0, FlowFlag(0), 0.0)
    table.renew(1, 10 * TICK_S)
    assert unpack_state(table.find(1)).flags == FlowFlag.IMPORTED
    table.touch(1, 10 * TICK_S)
    assert unpack_state(table.find(1)).flags == FlowFlag(0)

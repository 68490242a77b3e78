"""Flows count as load while they have packets, and are removed after the idle timeout."""

import pytest

from chicoryproxy.forwarding.flows import LOAD_IDLE_S, FlowTable
from chicoryproxy.forwarding.model import FlowId

FLOW = FlowId(b"flow-1")


@pytest.mark.parametrize("idle_timeout_s", [8.0, 15.0, 40.0])
def test_an_idle_flow_is_removed_after_the_published_timeout(harness, idle_timeout_s):
    flows, upstream = FlowTable(), harness.publish_upstream("i-1")
    flows.assign(flows.touch(FLOW, 1.0), upstream)
    flows.expire(1.0 + LOAD_IDLE_S, idle_timeout_s)
    assert flows.get_load(upstream).flows == 0
    assert flows.get(FLOW) is not None
    flows.expire(0.9 + idle_timeout_s, idle_timeout_s)
    assert flows.get(FLOW) is not None
    flows.expire(1.1 + idle_timeout_s, idle_timeout_s)
    assert flows.get(FLOW) is None


def test_the_least_recently_used_flow_is_evicted(harness):
    flows, upstream = FlowTable(capacity=2), harness.publish_upstream("i-1")
    for number in range(3):
        flows.assign(flows.touch(FlowId(bytes([number])), 1.0 + number), upstream)
    assert flows.get(FlowId(b"\0")) is None
    assert flows.get_load(upstream).flows == 2


# A caller pauses for longer than its flow counts as load, and then sends the next request.
def test_a_flow_counts_again_after_a_pause(harness):
    flows, upstream = FlowTable(), harness.publish_upstream("i-1")
    flows.assign(flows.touch(FLOW, 1.0), upstream)
    flows.expire(1.0 + LOAD_IDLE_S, 60.0)
    flow = flows.touch(FLOW, 2.0 + LOAD_IDLE_S)
    assert flows.get_load(upstream).flows == 1
    assert flows.start_wait(flow, 2.0 + LOAD_IDLE_S)


def test_an_upstream_is_used_until_its_last_flow_has_ended(harness):
    flows, upstream = FlowTable(), harness.publish_upstream("i-1")
    ids = [FlowId(bytes([number])) for number in range(3)]
    first, second, third = (flows.touch(item, 1.0) for item in ids)
    for flow in (first, second, third):
        flows.assign(flow, upstream)
    flows.end(first)
    flows.remove(ids[1])
    assert [item for item, _ in flows.iterate_upstream(upstream)] == [ids[2]]
    flows.expire(1.0 + LOAD_IDLE_S, 60.0)
    assert flows.has_flows(upstream)
    assert flows.report_loads() == ()
    flows.expire(61.1, 60.0)
    assert not flows.has_flows(upstream)


def test_a_flow_that_awaits_a_response_has_not_ended(harness):
    flows, upstream = FlowTable(), harness.publish_upstream("i-1")
    flow = flows.touch(FLOW, 1.0)
    flows.assign(flow, upstream)
    flows.start_wait(flow, 1.0)
    flows.end(flow)
    assert flows.get_load(upstream).flows == 0
    assert flows.has_flows(upstream)

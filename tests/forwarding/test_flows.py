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

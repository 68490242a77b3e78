"""Tests of the demo's flow counts and of the stand-ins that it uses."""

import pytest
from rich.console import Console

from chicoryproxy.commands import demo
from chicoryproxy.commands.demo import Demo, DemoOptions, DemoResult
from chicoryproxy.commands.demo_fleet import HOSTS, LOCK_PORT, TARGET
from chicoryproxy.ids import UpstreamId
from chicoryproxy.model import Endpoint
from chicoryproxy.network.segment import Segment, TcpEndpoint, build_packet, read_segment
from chicoryproxy.protocol.packet import FLAG_ACK, FLAG_FIN, FLAG_RST, FLAG_SYN
from chicoryproxy.testing.caller_standin import CallerFlow, FlowEnd
from chicoryproxy.testing.loopback import reserve_address
from chicoryproxy.testing.upstream_standin import UpstreamStandIn

CALLER = TcpEndpoint("10.9.0.1", 40_000)
KEPT_UPSTREAM = UpstreamId("qa-desk-0")
REMOVED_DOMAIN_UPSTREAM = UpstreamId("qa-desk-2")


@pytest.fixture
def demo_run():
    run = Demo(DemoOptions(flows=1), Console(quiet=True))
    domains = run._fleet.domains
    domains[KEPT_UPSTREAM] = demo.DOMAINS[0]
    domains[REMOVED_DOMAIN_UPSTREAM] = demo.OUT_DOMAIN
    return run


@pytest.mark.parametrize(
    ("end", "upstream", "outcome"),
    [
        (FlowEnd.CLOSED, KEPT_UPSTREAM, "survived"),
        (FlowEnd.REFUSED, "", "refused"),
        (FlowEnd.SILENT, "", "unanswered"),
        (FlowEnd.RESET, REMOVED_DOMAIN_UPSTREAM, "given up"),
        (FlowEnd.RESET, KEPT_UPSTREAM, "broken"),
        (FlowEnd.SILENT, KEPT_UPSTREAM, "broken"),
        (FlowEnd.MOVED, REMOVED_DOMAIN_UPSTREAM, "broken"),
        (FlowEnd.WRONG_ANSWER, REMOVED_DOMAIN_UPSTREAM, "broken"),
    ],
)
def test_classification_of_flows(demo_run, end, upstream, outcome):
    flow = CallerFlow(CALLER, TARGET, lambda packet: None)
    flow.end = end
    flow.upstream = UpstreamId(upstream)
    assert demo_run._classify(flow) == outcome


@pytest.mark.parametrize(("broken", "code"), [(0, 0), (1, demo.EXIT_CODE_BROKEN)])
def test_exit_code_tells_whether_a_flow_broke(monkeypatch, broken, code):
    async def run(_self):
        return DemoResult(10, 20, broken, 0, 0, 0, 1.0, 100.0)

    monkeypatch.setattr(Demo, "run", run)
    with pytest.raises(SystemExit) as exit_request:
        demo.main([])
    assert exit_request.value.code == code


def test_upstream_answers_retransmitted_requests_and_fins():
    """Retransmitting a FIN whose response was lost must not cause a reset.

    The demo would count the reset as a broken flow.
    """
    answers = []
    upstream = UpstreamStandIn(
        KEPT_UPSTREAM, Endpoint("127.0.0.1", 1), lambda: ("", 0), lambda: 0.0
    )
    upstream.socket.send = lambda packet, _address: answers.append(read_segment(packet))
    for flags, sequence, payload in (
        (FLAG_SYN, 1, b""),
        (FLAG_ACK, 2, b"ask"),
        (FLAG_ACK, 2, b"ask"),
        (FLAG_ACK | FLAG_FIN, 5, b""),
        (FLAG_ACK | FLAG_FIN, 5, b""),
    ):
        segment = Segment(CALLER, TARGET, flags, sequence, 0, payload)
        upstream._receive(build_packet(segment), ("127.0.0.1", 2))
    assert upstream.requests[CALLER] == 1
    assert answers[1] == answers[2]
    assert answers[3] == answers[4]
    assert answers[3].flags == FLAG_FIN | FLAG_ACK
    assert not any(answer.flags & FLAG_RST for answer in answers)


def test_concurrent_demos_use_different_addresses():
    first, second = (reserve_address(HOSTS, LOCK_PORT) for _ in range(2))
    with first, second:
        assert first.getsockname()[0] != second.getsockname()[0]

"""How the demo counts flows, and the stand-ins that it relies on."""

import pytest
from rich.console import Console

from chicoryproxy.commands import demo
from chicoryproxy.commands.demo import Demo, DemoOptions, DemoResult
from chicoryproxy.commands.demo_fleet import HOSTS, LOCK_PORT, TARGET
from chicoryproxy.ids import UpstreamId
from chicoryproxy.model import Endpoint
from chicoryproxy.network.segment import Peer, Segment, build_packet, read_segment
from chicoryproxy.protocol.packet import FLAG_ACK, FLAG_FIN, FLAG_RST, FLAG_SYN
from chicoryproxy.testing.caller_standin import CallerFlow, FlowEnd
from chicoryproxy.testing.loopback import reserve_address
from chicoryproxy.testing.upstream_standin import UpstreamStandIn

CALLER = Peer("10.9.0.1", 40_000)
STAYED = UpstreamId("qa-desk-0")
TAKEN_OUT = UpstreamId("qa-desk-2")


@pytest.fixture
def demo_run():
    run = Demo(DemoOptions(flows=1), Console(quiet=True))
    domains = run._fleet.domains
    domains[STAYED] = demo.DOMAINS[0]
    domains[TAKEN_OUT] = demo.OUT_DOMAIN
    return run


@pytest.mark.parametrize(
    ("end", "upstream", "outcome"),
    [
        (FlowEnd.CLOSED, STAYED, "survived"),
        (FlowEnd.REFUSED, "", "refused"),
        (FlowEnd.SILENT, "", "unanswered"),
        (FlowEnd.RESET, TAKEN_OUT, "given up"),
        (FlowEnd.RESET, STAYED, "broken"),
        (FlowEnd.SILENT, STAYED, "broken"),
        (FlowEnd.MOVED, TAKEN_OUT, "broken"),
        (FlowEnd.WRONG_ANSWER, TAKEN_OUT, "broken"),
    ],
)
def test_kinds_of_flows(demo_run, end, upstream, outcome):
    flow = CallerFlow(CALLER, TARGET, lambda packet: None)
    flow.end = end
    flow.upstream = UpstreamId(upstream)
    assert demo_run._classify(flow) == outcome


@pytest.mark.parametrize(("broken", "code"), [(0, 0), (1, demo.EXIT_CODE_BROKEN)])
def test_exit_code(monkeypatch, broken, code):
    async def run(_self):
        return DemoResult(10, 20, broken, 0, 0, 0, 1.0, 100.0)

    monkeypatch.setattr(Demo, "run", run)
    with pytest.raises(SystemExit) as stop:
        demo.main([])
    assert stop.value.code == code


def test_upstream_answers_a_repeated_request_and_a_repeated_end():
    """A FIN whose answer was lost used to meet a reset, which counted as a broken flow."""
    answers = []
    upstream = UpstreamStandIn(STAYED, Endpoint("127.0.0.1", 1), lambda: ("", 0), lambda: 0.0)
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


def test_demos_at_the_same_time_use_different_addresses():
    first, second = (reserve_address(HOSTS, LOCK_PORT) for _ in range(2))
    with first, second:
        assert first.getsockname()[0] != second.getsockname()[0]

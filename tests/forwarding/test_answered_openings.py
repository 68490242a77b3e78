"""Copies of an opening may reach two upstreams; the packets go to the one that has the flow.

Each server numbers its answers from its own start. An upstream that has only answered an opening
resets the caller if a packet of the open flow reaches it.
"""

from chicoryproxy.forwarding.health.reachability import ProbeResult
from chicoryproxy.forwarding.model import Drop
from tests.forwarding.harness import ForwarderHarness, create_packet

PORT = 2048
CALLER_START = 5_000
FIRST_START = 1_000_000_000
SECOND_START = 3_000_000_000
UPSTREAMS = ("i-1", "i-2", "i-3")


def create_entry():
    """Create an entry with a configuration and three upstreams."""
    entry = ForwarderHarness()
    entry.publish_routing(1)
    for name in UPSTREAMS:
        entry.publish_upstream(name)
    return entry


def send_opening(entry, copy=0, sequence=CALLER_START):
    """Send a copy of the opening; return the decision."""
    return entry.send(create_packet(port=PORT, sequence=sequence, copy=copy, is_opening=True))


def send_packet(entry, marked, server_start, sequence=CALLER_START + 1, received=0, **fields):
    """Send a packet of the open flow whose upstream numbers its answers from a start.

    :param marked: upstream whose mark the caller echoes.
    :param received: bytes of the response that the caller has acknowledged.
    """
    acknowledged = server_start + 1 + received
    return entry.send(
        create_packet(
            port=PORT,
            mark=marked.mark,
            sequence=sequence,
            acknowledged=acknowledged,
            **fields,
        )
    )


def find_other(entry, upstream):
    """Return an upstream that differs from the given one."""
    return next(item for item in entry.directory.iterate_present() if item is not upstream)


def get_name(upstream):
    """Return the id of an upstream; the entries' lifetimes are different objects."""
    return upstream.entry.id


def test_copies_that_waited_in_the_queue_of_an_entry_reach_one_upstream():
    """A starting or slow entry reads an opening and its copies together; no upstream is late."""
    entry = create_entry()
    first = send_opening(entry)
    entry.now += 0.01
    assert send_opening(entry, copy=1) is first
    entry.now += 0.01
    assert send_opening(entry, copy=2) is first


def test_a_flow_whose_copies_waited_in_a_queue_keeps_its_upstream_at_any_entry():
    """Both copies are answered, and the routers move the flow to an entry that doesn't know it."""
    entry, other = create_entry(), create_entry()
    first = send_opening(entry)
    entry.now += 0.01
    last = send_opening(entry, copy=1)
    assert send_packet(entry, first, FIRST_START, size=10) is first
    moved = send_packet(other, last, FIRST_START, CALLER_START + 11, received=300, size=10)
    assert get_name(moved) == get_name(first)


def test_copies_that_waited_in_the_queue_of_an_entry_are_no_failure():
    """False evidence: each restart of an entry would make openings avoid upstreams that serve."""
    entry = create_entry()
    first = send_opening(entry)
    entry.now += 0.01
    send_opening(entry, copy=1)
    assert entry.forwarder.failure_detector.get_failures(first) == 0
    assert entry.forwarder.reachability.pop_due(entry.now) == []


def test_a_copy_after_the_time_for_an_answer_avoids_the_silent_upstream():
    """The first upstream has ended; the copies are the caller's only other chance."""
    entry = create_entry()
    first = send_opening(entry)
    entry.now += 0.01
    send_opening(entry, copy=1)
    entry.now += 0.19
    assert send_opening(entry, copy=2) is not first
    assert entry.forwarder.failure_detector.get_failures(first) == 1


def test_a_copy_that_waited_in_the_queue_avoids_an_upstream_that_refuses_connections():
    entry = create_entry()
    first = send_opening(entry)
    entry.forwarder.reachability.suspect(first, entry.now)
    entry.forwarder.reachability.pop_due(entry.now)
    entry.forwarder.failures.handle_probe_result(first, ProbeResult.REFUSED, entry.now)
    entry.now += 0.01
    assert send_opening(entry, copy=1) is not first


def test_a_copy_that_waited_in_the_queue_avoids_an_upstream_that_leaves():
    entry = create_entry()
    first = send_opening(entry)
    entry.publish_upstream(get_name(first), draining=True)
    entry.now += 0.01
    assert send_opening(entry, copy=1) is not first


def test_an_opening_that_a_slow_entry_forwards_late_does_not_move_the_open_flow():
    """Each entry knows one upstream; the caller's echo is the mark of the late, unused one."""
    slow, entry = create_entry(), create_entry()
    upstream = send_opening(entry, copy=1)
    assert send_packet(entry, upstream, SECOND_START, size=10) is upstream
    slow.now += 0.5
    late = slow.directory.find_by_mark(find_other(entry, upstream).mark)
    slow.forwarder.policy.choose = lambda opening, now: late
    assert send_opening(slow) is late
    entry.now += 0.5
    decision = send_packet(entry, late, SECOND_START, CALLER_START + 11, received=300, size=10)
    assert decision is upstream
    # The unused upstream repeats its answer while the flow is idle.
    entry.now += 7.0
    entry.forwarder.expire(entry.now)
    decision = send_packet(entry, late, SECOND_START, CALLER_START + 21, received=900, size=10)
    assert decision is upstream


def test_a_flow_that_returns_to_the_entry_of_an_unused_upstream_keeps_its_own():
    """The flow opened elsewhere; this entry's record names the unused upstream and is not open."""
    entry = create_entry()
    unused = send_opening(entry)
    upstream = find_other(entry, unused)
    entry.now += 1.0
    decision = send_packet(entry, upstream, SECOND_START, CALLER_START + 11, received=300, size=10)
    assert decision is upstream
    entry.now += 0.2
    decision = send_packet(entry, unused, SECOND_START, CALLER_START + 21, received=600, size=10)
    assert decision is upstream


def test_a_flow_that_returns_with_the_mark_of_an_unused_upstream_is_corrected_by_its_own():
    """A packet from the middle of a flow doesn't prove that this entry's candidate was chosen."""
    entry = create_entry()
    unused = send_opening(entry)
    upstream = find_other(entry, unused)
    entry.now += 1.0
    send_packet(entry, unused, SECOND_START, CALLER_START + 11, received=300, size=10)
    entry.now += 0.2
    decision = send_packet(entry, upstream, SECOND_START, CALLER_START + 11, received=300, size=10)
    assert decision is upstream
    decision = send_packet(entry, unused, SECOND_START, CALLER_START + 21, received=600, size=10)
    assert decision is upstream


def test_a_reused_port_follows_the_mark_of_its_new_flow():
    """The new flow opened at another entry, at an upstream that got a copy of the old opening."""
    entry = create_entry()
    first = send_opening(entry)
    entry.now += 0.2
    second = send_opening(entry, copy=1)
    assert send_packet(entry, first, FIRST_START, size=10) is first
    entry.now += 3.0
    sequence = CALLER_START + (1 << 30)
    assert send_packet(entry, second, SECOND_START, sequence, size=10) is second
    # The record is that of the new flow: its upstream stays when the old mark comes.
    assert send_packet(entry, second, SECOND_START, sequence + 10, received=99) is second


def test_a_packet_of_a_reused_port_with_an_unknown_mark_is_dropped():
    """The upstream of the old flow would reset the new one."""
    entry = create_entry()
    first = send_opening(entry)
    assert send_packet(entry, first, FIRST_START, size=10) is first
    packet = create_packet(
        port=PORT,
        mark=12345,
        sequence=CALLER_START + (1 << 30),
        acknowledged=SECOND_START,
        size=10,
    )
    assert entry.send(packet) is Drop.UNKNOWN_MARK


def test_a_copy_of_the_opening_of_a_reused_port_gets_an_upstream_of_its_own():
    """The original went to another entry; the upstream of the old flow has begun to leave."""
    entry = create_entry()
    first = send_opening(entry)
    assert send_packet(entry, first, FIRST_START, size=10) is first
    entry.publish_upstream(get_name(first), draining=True)
    entry.now += 4.0
    entry.forwarder.pause.tick(True, entry.now)
    entry.forwarder.pause.tick(True, entry.now)
    assert send_opening(entry, copy=1, sequence=CALLER_START + (1 << 30)) is not first


def test_a_flow_of_many_bytes_keeps_its_upstream_when_its_numbers_wrap():
    """Sequence numbers start anywhere in 32 bits."""
    entry = create_entry()
    start = (1 << 32) - 100
    first = send_opening(entry)
    entry.now += 0.2
    second = send_opening(entry, copy=1)
    assert send_packet(entry, first, start, size=10) is first
    packet = create_packet(
        port=PORT, mark=second.mark, sequence=CALLER_START + 11, acknowledged=900, size=10
    )
    assert entry.send(packet) is first

"""All answers that a caller may echo lead to the upstream of its flow, at any entry.

FLOW: an answer to an opening was lost, its copy went to a second upstream, and both answered. The
unused one repeated its answer, the caller echoed its mark, and an entry that had no record of the
flow sent the packets there; it reset the flow.
"""

import pytest

from chicoryproxy.forwarding.unusedhandshakes import HANDSHAKE_S, MIN_INTERVAL_S
from tests.forwarding.harness import OWN_DOMAIN, ROUTE, create_packet
from tests.forwarding.test_answered_openings import (
    CALLER_START,
    FIRST_START,
    SECOND_START,
    create_entry,
    find_other,
    get_name,
    send_opening,
    send_packet,
)


class Upstreams:
    """What each upstream echoes: the mark of the last opening that it got."""

    def __init__(self):
        self.echoes = {}

    def take_opening(self, upstream):
        """Take a copy of an opening that an entry forwarded."""
        self.echoes[get_name(upstream)] = upstream.mark_bytes

    def take_repeated(self, entry):
        """Take the openings that an entry sends once more; return how many there were."""
        repeated = entry.forwarder.pop_repeated_openings()
        for opening in repeated:
            assert opening.data == b"opening"
            self.echoes[get_name(opening.target)] = opening.mark_bytes
        return len(repeated)


@pytest.fixture
def entry():
    """An entry with three upstreams."""
    return create_entry()


@pytest.fixture
def upstreams():
    """The upstreams of that entry."""
    return Upstreams()


def open_twice(entry, upstreams):
    """Send an opening and a copy; return the two upstreams that got them."""
    first = send_opening(entry)
    upstreams.take_opening(first)
    entry.now += 0.2
    second = send_opening(entry, copy=1)
    upstreams.take_opening(second)
    assert first is not second
    return first, second


@pytest.mark.parametrize("is_first_used", [True, False])
def test_the_unused_upstream_repeats_the_mark_of_the_used_one(entry, upstreams, is_first_used):
    pair = open_twice(entry, upstreams)
    used, unused = pair if is_first_used else reversed(pair)
    assert send_packet(entry, used, FIRST_START) is used
    assert upstreams.take_repeated(entry) == 1
    assert upstreams.echoes[get_name(unused)] == used.mark_bytes
    # A later answer of the unused upstream is the last that the caller got; the flow has moved.
    other = create_entry()
    mark = int.from_bytes(upstreams.echoes[get_name(unused)], "little")
    packet = create_packet(
        port=2048, mark=mark, sequence=CALLER_START + 11, acknowledged=FIRST_START + 301, size=10
    )
    assert get_name(other.send(packet)) == get_name(used)


def test_an_opening_with_one_upstream_is_not_sent_again(entry, upstreams):
    upstream = send_opening(entry)
    send_packet(entry, upstream, FIRST_START, size=10)
    assert upstreams.take_repeated(entry) == 0


def test_a_copy_whose_original_went_through_another_entry_is_corrected(entry, upstreams):
    """The caller acknowledges the answer to the original."""
    unused = send_opening(entry, copy=1)
    upstreams.take_opening(unused)
    used = find_other(entry, unused)
    assert send_packet(entry, used, SECOND_START) is used
    assert upstreams.take_repeated(entry) == 1
    assert upstreams.echoes[get_name(unused)] == used.mark_bytes


def test_the_opening_is_sent_again_while_the_caller_echoes_the_unused_upstream(entry, upstreams):
    """The first correction was lost on its way."""
    used, unused = open_twice(entry, upstreams)
    send_packet(entry, used, FIRST_START)
    assert upstreams.take_repeated(entry) == 1
    entry.now += 2 * MIN_INTERVAL_S
    for _ in range(3):
        assert send_packet(entry, unused, FIRST_START, CALLER_START + 11, 300, size=10) is used
    assert upstreams.take_repeated(entry) == 1
    assert send_packet(entry, used, FIRST_START, CALLER_START + 21, 600, size=10) is used
    assert upstreams.take_repeated(entry) == 0


def test_an_opening_is_not_sent_again_once_the_upstream_has_given_up(entry, upstreams):
    """It would take it for a new flow."""
    used, unused = open_twice(entry, upstreams)
    send_packet(entry, used, FIRST_START)
    upstreams.take_repeated(entry)
    entry.now += HANDSHAKE_S
    send_packet(entry, unused, FIRST_START, CALLER_START + 11, 300, size=10)
    assert upstreams.take_repeated(entry) == 0


@pytest.mark.parametrize("change", ["drain", "domain", "route"])
def test_an_opening_is_not_sent_again_where_openings_may_not_go_any_more(entry, upstreams, change):
    """DRAIN, EVAC, CONFIG: to an upstream that had lost the copy it would be a new flow."""
    used, unused = open_twice(entry, upstreams)
    if change == "drain":
        entry.publish_upstream(get_name(unused), draining=True)
    elif change == "domain":
        entry.take_domain_out(OWN_DOMAIN)
    else:
        entry.publish_routing(2, [r for r in entry.directory.routing.routes if r.key != ROUTE])
    send_packet(entry, used, FIRST_START)
    assert upstreams.take_repeated(entry) == 0

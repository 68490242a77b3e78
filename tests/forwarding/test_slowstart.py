"""Upstreams that have started or recovered get openings at the pace of their answers."""

import heapq
import itertools

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from chicoryproxy.forwarding.coldstart import DomainShare
from chicoryproxy.forwarding.model import Bounds, Revision
from chicoryproxy.forwarding.peermessages import (
    Heartbeat,
    PeerAddress,
    decode_message,
    encode_message,
)
from chicoryproxy.forwarding.recovery import begin_ramps
from tests.forwarding.harness import OTHER_DOMAIN, OWN_DOMAIN, ROUTE, ForwarderHarness, create_packet

ENTRIES = 12
UPSTREAMS = 20
OPENINGS_PER_S = 480
FAIR_PER_S = OPENINGS_PER_S / (UPSTREAMS + 1)
WORK_S = 0.05
OPEN_S = 1.5
HEARTBEAT_S = 0.4
NEW = "i-new"


def exchange_all(sender, receiver, now):
    """Deliver every heartbeat."""
    return True


class Fleet:
    """Entries of one failure domain before upstreams with two slots, under steady load.

    Each flow has one request and stays open for ``OPEN_S``. Requests wait for a free slot.

    :ivar slowness: factor on the work of a request at an upstream.
    :ivar opened: times of the openings at each upstream.
    :ivar durations: response times at each upstream.
    """

    def __init__(self, is_enabled=True, delivers=exchange_all, slowness=None):
        self.now = 100.0
        self.entries = [ForwarderHarness(is_enabled) for _ in range(ENTRIES)]
        self.opened = {}
        self.durations = {}
        self.slowness = slowness or {}
        self._delivers = delivers
        self._free = {}
        self._events = []
        self._order = itertools.count()
        self._openings = itertools.count()
        self._rounds = itertools.count()
        for rank, entry in enumerate(self.entries):
            self._prepare(rank, entry)
        self._schedule(self.now, self._open)
        self._schedule(self.now, self._exchange)

    def _prepare(self, rank, entry):
        entry.publish_routing(1, cold_per_s=20.0)
        entry.forwarder.cold_budget.share = DomainShare(rank, ENTRIES)
        for number in range(UPSTREAMS):
            entry.publish_upstream(f"i-{number}")

    def restart(self, rank):
        """Restart an entry, whose first view has all upstreams."""
        entry = self.entries[rank] = ForwarderHarness(True)
        self._prepare(rank, entry)
        entry.publish_upstream(NEW)

    def start_upstream(self, name=NEW, **fields):
        """Start an upstream or a further lifetime of it."""
        for entry in self.entries:
            entry.now = self.now
            known = entry.directory.known_revision
            entry.publish_upstream(name, **fields)
            assert known
            for event in entry.events:
                begin_ramps(event, entry.directory, entry.forwarder.slow_start, self.now)

    def run(self, seconds):
        """Let time pass."""
        end = self.now + seconds
        while self._events[0][0] < end:
            self.now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        self.now = end
        for entry in self.entries:
            entry.now = end
            entry.forwarder.pause.tick(True, end)
            entry.forwarder.expire(end)

    def count_openings(self, name, start, end):
        """Return the openings per second at an upstream in a time span."""
        times = self.opened.get(name, ())
        return sum(1 for time in times if start <= time < end) / (end - start)

    def get_share(self, name=NEW):
        """Return the part of the openings of the last second that went to an upstream."""
        return self.count_openings(name, self.now - 1.0, self.now) / FAIR_PER_S

    def _schedule(self, time, action, *arguments):
        heapq.heappush(self._events, (time, next(self._order), action, arguments))

    def _send(self, rank, packet):
        entry = self.entries[rank]
        entry.now = self.now
        entry.forwarder.pause.tick(True, self.now)
        return entry.send(packet)

    def _open(self):
        number = next(self._openings)
        rank, port = number * 7 % ENTRIES, 1024 + number % 60_000
        upstream = self._send(rank, create_packet(ROUTE, number + 1, port, is_opening=True))
        name = upstream.entry.id
        self.opened.setdefault(name, []).append(self.now)
        mark, caller = upstream.mark, number + 1
        request = {"mark": mark, "sequence": 1, "acknowledged": 1, "size": 50}
        self._send(rank, create_packet(ROUTE, caller, port, **request))
        done = self._serve(name)
        self.durations.setdefault(name, []).append(done - self.now)
        answered = {"mark": mark, "sequence": 51, "acknowledged": 90}
        self._schedule(done, self._send, rank, create_packet(ROUTE, caller, port, **answered))
        end = create_packet(ROUTE, caller, port, **answered, is_end=True)
        self._schedule(done + OPEN_S, self._send, rank, end)
        self._schedule(self.now + 1.0 / OPENINGS_PER_S, self._open)

    def _serve(self, name):
        """Return when a request that arrives now is answered."""
        free = self._free.setdefault(name, [0.0, 0.0])
        done = max(self.now, heapq.heappop(free)) + WORK_S * self.slowness.get(name, 1.0)
        heapq.heappush(free, done)
        return done

    def _exchange(self):
        number = next(self._rounds)
        for rank, entry in enumerate(self.entries):
            forwarder = entry.forwarder
            heartbeat = Heartbeat(
                PeerAddress(rank + 1, 0),
                Revision(1),
                0.0,
                False,
                forwarder.flows.report_loads(),
                (),
                (),
                False,
                forwarder.slow_start.list_reports(),
            )
            for step in (number, number * 3 + 1):
                receiver = (rank + 1 + step % (ENTRIES - 1)) % ENTRIES
                if self._delivers(rank, receiver, self.now):
                    self._receive(receiver, heartbeat)
            forwarder.expire(self.now)
        self._schedule(self.now + HEARTBEAT_S, self._exchange)

    def _receive(self, rank, heartbeat):
        forwarder = self.entries[rank].forwarder
        forwarder.flows.peer_loads.handle_heartbeat(heartbeat, self.now)
        forwarder.slow_start.handle_heartbeat(heartbeat, ENTRIES - 1, self.now)


def create_running_fleet(**fields):
    """Create a fleet whose load is steady."""
    fleet = Fleet(**fields)
    fleet.run(4.0)
    return fleet


if __name__ == "__main__":
    for kw in ({"is_enabled": False}, {}, {"slowness": {NEW: 8.0}}, {"slowness": {NEW: 3.0}},{"delivers":lambda a,b,t: False}):
        f = create_running_fleet(**kw)
        t = f.now
        f.start_upstream()
        f.run(8.0)
        print(kw, [round(f.count_openings(NEW, t + i/2, t + i/2+.5) / FAIR_PER_S, 2) for i in range(16)])
        d = f.durations[NEW]
        print("  worst", round(max(d), 2), "median other", sorted(f.durations["i-3"])[len(f.durations["i-3"]) // 2], "other worst", max(f.durations["i-3"]))
        print("  ", [round(e.forwarder.slow_start._find(e.find_upstream(NEW)).share,1) if f.entries and e.forwarder.slow_start.is_ramping(e.find_upstream(NEW)) else None for e in f.entries])

"""Simulated network for probes, given by the time that a connection to each upstream takes."""

import heapq
import itertools
import math

from chicoryproxy.forwarding.health.reachability import ProbeResult
from chicoryproxy.node.probe import CONNECT_TIMEOUT_S, IDENTITY_TIMEOUT_S, SLOW_CONNECT_S

TICK_S = 0.05
NEVER_S = math.inf


class Network:
    """Runs the probes of a forwarding core as the data plane does.

    :ivar delays_s: time that a connection to an upstream takes, by its id; 1 ms by default.
    :ivar refusing: ids of the upstreams that refuse connections.
    :ivar resetting: how upstreams reset connections, by id; the others don't.
    :ivar health: result of the health check, by id; ``CONNECTED`` by default.
    :ivar broken: flows that were reset.
    :ivar probes: number of probes.
    """

    def __init__(self, harness):
        self.delays_s = {}
        self.refusing = set()
        self.resetting = {}
        self.health = {}
        self.broken = []
        self.probes = 0
        self._harness = harness
        self._results = []
        self._numbers = itertools.count()
        self._next_tick_s = harness.now

    def run(self, seconds):
        """Advance the clock, start the probes that are due at each tick, and pass in results."""
        harness, end_s = self._harness, self._harness.now + seconds
        self._next_tick_s = max(self._next_tick_s, harness.now)
        while min(self._next_tick_s, self._next_result_s) <= end_s:
            if self._next_result_s <= self._next_tick_s:
                harness.now, _, upstream, result = heapq.heappop(self._results)
                self.broken += harness.forwarder.failures.handle_probe_result(
                    upstream, result, harness.now
                )
                continue
            harness.now = self._next_tick_s
            harness.forwarder.pause.tick(True, harness.now)
            harness.forwarder.expire(harness.now)
            for upstream in harness.forwarder.reachability.pop_due(harness.now):
                self._probe(upstream)
            self._next_tick_s += TICK_S
        harness.now = end_s

    @property
    def _next_result_s(self):
        return self._results[0][0] if self._results else NEVER_S

    def _probe(self, upstream):
        self.probes += 1
        duration_s, result = self._compute_result(upstream)
        ends_s = self._harness.now + duration_s
        heapq.heappush(self._results, (ends_s, next(self._numbers), upstream, result))

    def _compute_result(self, upstream):
        name, timeout_s = upstream.entry.id, CONNECT_TIMEOUT_S
        if upstream.is_unreachable:
            timeout_s = IDENTITY_TIMEOUT_S
        delay_s = self.delays_s.get(name, 0.001)
        if name in self.refusing:
            return 0.001, ProbeResult.REFUSED
        if name in self.resetting:
            return 0.001, self.resetting[name]
        if delay_s > timeout_s:
            return timeout_s, ProbeResult.TIMEOUT
        if upstream.is_unreachable:
            return delay_s, self.health.get(name, ProbeResult.CONNECTED)
        is_slow = delay_s > SLOW_CONNECT_S
        return delay_s, ProbeResult.CONNECTED_SLOWLY if is_slow else ProbeResult.CONNECTED

"""Slow start: the share of the openings that an upstream gets after a start or a recovery.

An upstream that has just started has no flows, so that every entry would choose it at once. While
it ramps up, it is considered for a share of the openings only. The share grows with answers that
come on time and shrinks with late ones. No entry coordinates: each one applies the share to its own
openings, and the answers that its peers counted are part of their heartbeats.
"""

from abc import ABC, abstractmethod
from collections.abc import Sequence

import xxhash

from chicoryproxy.forwarding.balancing.ramp import Ramp, RampCause, RampEvent
from chicoryproxy.forwarding.balancing.responsetimes import ResponseTimes
from chicoryproxy.forwarding.model import FlowId, Mark, UpstreamPhase
from chicoryproxy.forwarding.peers.peermessages import Heartbeat, RampReport
from chicoryproxy.forwarding.view.lifetime import Lifetime
from chicoryproxy.ids import DomainId

MAX_RAMPS = 128
"""If more upstreams ramp up at once, the ramps that began first are given up."""

REPORTS_IN_HEARTBEAT = 4
"""If there are more ramps, each heartbeat has others of them."""

REMOTE_DELAY_S = 3.0
"""Entries of other failure domains begin later, when those of its own have some answers or have no
callers for it."""

REPORT_AFTER_S = 4.0
"""The entry of a complete ramp goes on to report answers, for the peers that have seen fewer."""

_HASH_RANGE = 2.0**64


class SlowStart(ABC):
    """Limits the share of openings at upstreams that are ramping up."""

    @abstractmethod
    def begin(self, upstream: Lifetime, cause: RampCause, now: float) -> None:
        """Start a ramp, or start it anew."""

    @abstractmethod
    def is_ramping(self, upstream: Lifetime) -> bool:
        """Return whether an upstream is ramping up."""

    @abstractmethod
    def accepts(self, upstream: Lifetime, flow: FlowId, candidates: int) -> bool:
        """Return whether a ramping upstream is considered for an opening.

        It also records the number of candidates, and that others could bear the load.

        :param candidates: upstreams that the opening could go to otherwise.
        """

    @abstractmethod
    def record_unlimited(self, upstreams: Sequence[Lifetime], now: float) -> None:
        """Record that an opening could go to these ramping upstreams only.

        None of them is limited then, since no other one could bear the load instead.
        """

    @abstractmethod
    def record_response(self, upstream: Lifetime, duration_s: float, now: float) -> None:
        """Record the time from a request to its response, also of upstreams that don't ramp."""

    @abstractmethod
    def record_failure(self, upstream: Lifetime, now: float) -> None:
        """Record an opening or a request that was not answered in time."""

    @abstractmethod
    def list_reports(self) -> tuple[RampReport, ...]:
        """Return what this entry has counted, for its heartbeats."""

    @abstractmethod
    def handle_heartbeat(self, heartbeat: Heartbeat, peers: int, now: float) -> None:
        """Take over the counts of a peer of the own failure domain.

        :param peers: live peers there.
        """

    @abstractmethod
    def expire(self, now: float) -> None:
        """End the ramps that are complete, and those of ended upstreams."""

    @abstractmethod
    def count(self) -> int:
        """Return the number of upstreams that are ramping up."""

    @abstractmethod
    def pop_events(self) -> list[RampEvent]:
        """Return the begins and ends of ramps since the last call."""


class NoSlowStart(SlowStart):
    """Never limits; for comparisons."""

    def begin(self, upstream: Lifetime, cause: RampCause, now: float) -> None:
        """Do nothing."""

    def is_ramping(self, upstream: Lifetime) -> bool:
        """Return False."""
        return False

    def accepts(self, upstream: Lifetime, flow: FlowId, candidates: int) -> bool:
        """Return True."""
        return True

    def record_unlimited(self, upstreams: Sequence[Lifetime], now: float) -> None:
        """Do nothing."""

    def record_response(self, upstream: Lifetime, duration_s: float, now: float) -> None:
        """Do nothing."""

    def record_failure(self, upstream: Lifetime, now: float) -> None:
        """Do nothing."""

    def list_reports(self) -> tuple[RampReport, ...]:
        """Return nothing."""
        return ()

    def handle_heartbeat(self, heartbeat: Heartbeat, peers: int, now: float) -> None:
        """Do nothing."""

    def expire(self, now: float) -> None:
        """Do nothing."""

    def count(self) -> int:
        """Return zero."""
        return 0

    def pop_events(self) -> list[RampEvent]:
        """Return nothing."""
        return []


class AdaptiveSlowStart(SlowStart):
    """Finds the share of each upstream from its answers.

    A hash of the flow and the mark decides whether an upstream is considered, so that all entries
    together keep to the share without messages.

    :param domain: failure domain of this entry. Entries of other domains than the upstream's leave
        it alone for ``REMOTE_DELAY_S``, and then find their own share of all upstreams.
    """

    def __init__(self, domain: DomainId) -> None:
        self._domain = domain
        # Ordered by begin, oldest first.
        self._ramps: dict[Mark, Ramp] = {}
        self._response_times = ResponseTimes()
        self._events: list[RampEvent] = []
        self._round = 0

    def begin(self, upstream: Lifetime, cause: RampCause, now: float) -> None:
        """Start a ramp, or start it anew."""
        self._ramps.pop(upstream.mark, None)
        while len(self._ramps) >= MAX_RAMPS:
            self._remove(next(iter(self._ramps.values())), now)
        self._ramps[upstream.mark] = Ramp(upstream, cause, now)
        self._ramps[upstream.mark].is_delayed = self._is_remote(upstream)
        if not self._is_remote(upstream):
            self._events.append(RampEvent(upstream, cause, False))

    def is_ramping(self, upstream: Lifetime) -> bool:
        """Return whether an upstream is ramping up."""
        return self._find_limiting(upstream) is not None

    def accepts(self, upstream: Lifetime, flow: FlowId, candidates: int) -> bool:
        """Return whether a ramping upstream is considered for an opening."""
        ramp = self._find_limiting(upstream)
        if ramp is None:
            return True
        ramp.candidates = 1 + candidates
        ramp.unlimited_s = None
        if ramp.is_delayed:
            return False
        point = xxhash.xxh3_64_intdigest(upstream.mark_bytes + flow) / _HASH_RANGE
        return point * ramp.candidates < ramp.share

    def record_unlimited(self, upstreams: Sequence[Lifetime], now: float) -> None:
        """Record that an opening could go to these ramping upstreams only."""
        for upstream in upstreams:
            ramp = self._find_limiting(upstream)
            if ramp is not None and ramp.unlimited_s is None:
                ramp.unlimited_s = now

    def record_response(self, upstream: Lifetime, duration_s: float, now: float) -> None:
        """Record the time from a request to its response, also of upstreams that don't ramp."""
        service = upstream.entry.service
        if not self.is_ramping(upstream):
            self._response_times.record(service, duration_s)
        ramp = self._find(upstream)
        if ramp is not None:
            ramp.record(self._response_times.is_slow(service, duration_s), now)

    def record_failure(self, upstream: Lifetime, now: float) -> None:
        """Record an opening or a request that was not answered in time."""
        ramp = self._find(upstream)
        if ramp is not None:
            ramp.record(True, now)

    def list_reports(self) -> tuple[RampReport, ...]:
        """Return what this entry has counted, others in each round if there is much."""
        ramps = [ramp for ramp in self._ramps.values() if ramp.on_time or ramp.late]
        if len(ramps) > REPORTS_IN_HEARTBEAT:
            self._round += 1
            start = self._round * REPORTS_IN_HEARTBEAT % len(ramps)
            ramps = (ramps[start:] + ramps[:start])[:REPORTS_IN_HEARTBEAT]
        return tuple(ramp.create_report() for ramp in ramps)

    def handle_heartbeat(self, heartbeat: Heartbeat, peers: int, now: float) -> None:
        """Take over the counts of a peer."""
        for report in heartbeat.ramps:
            ramp = self._ramps.get(report.mark)
            if ramp is not None:
                ramp.peers = peers
                ramp.handle_report(heartbeat.sender.host, report, now)

    def expire(self, now: float) -> None:
        """End the ramps that are complete, and those of ended upstreams."""
        for ramp in list(self._ramps.values()):
            if ramp.is_delayed:
                ramp.is_delayed = now - ramp.began_s < REMOTE_DELAY_S
            elif ramp.complete(now):
                self._record_end(ramp, now)
            if _is_outdated(ramp, now):
                self._remove(ramp, now)

    def count(self) -> int:
        """Return the number of upstreams that are ramping up."""
        return sum(1 for ramp in self._ramps.values() if ramp.completed_s is None)

    def pop_events(self) -> list[RampEvent]:
        """Return the begins and ends of ramps since the last call."""
        events, self._events = self._events, []
        return events

    def _find(self, upstream: Lifetime) -> Ramp | None:
        ramp = self._ramps.get(upstream.mark)
        return ramp if ramp is not None and ramp.upstream is upstream else None

    def _find_limiting(self, upstream: Lifetime) -> Ramp | None:
        ramp = self._find(upstream)
        return ramp if ramp is not None and ramp.completed_s is None else None

    def _is_remote(self, upstream: Lifetime) -> bool:
        return upstream.entry.domain != self._domain

    def _remove(self, ramp: Ramp, now: float) -> None:
        del self._ramps[ramp.upstream.mark]
        if ramp.completed_s is None:
            self._record_end(ramp, now)

    def _record_end(self, ramp: Ramp, now: float) -> None:
        if not self._is_remote(ramp.upstream):
            self._events.append(ramp.create_end(now))


def _is_outdated(ramp: Ramp, now: float) -> bool:
    is_reported = ramp.completed_s is not None and now - ramp.completed_s >= REPORT_AFTER_S
    return is_reported or ramp.upstream.phase is UpstreamPhase.GONE


def create_slow_start(domain: DomainId) -> SlowStart:
    """Create the slow start of an entry.

    :param domain: failure domain of the entry.
    """
    return AdaptiveSlowStart(domain)

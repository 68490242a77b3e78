"""Active probing that confirms whether a suspected upstream is unreachable.

The first probe only opens a connection. Probes of an unreachable upstream use a health check,
because its address may have been reassigned to another server.

Passive observation can't distinguish a dead upstream from a slow one. A refused connection proves
that its process has ended; two connections that time out while one to another upstream succeeds
quickly prove that packets of this entry do not arrive. The flows of the upstream are reset only
then. A congested link or a slow entry delays all connections alike and proves nothing.
"""

from collections.abc import Iterable
from enum import Enum, unique

from chicoryproxy.forwarding.directory import Lifetime
from chicoryproxy.forwarding.model import UnreachableCause, UpstreamPhase
from chicoryproxy.ids import DomainId

TIMEOUTS_TO_CONFIRM = 2
RECHECK_MIN_S = 0.6
RECHECK_MAX_S = 4.0
"""The interval between probes of an unreachable upstream doubles from the minimum up to this."""

SUCCESS_VALID_S = 0.4
"""After a successful probe the upstream is not probed again for this long."""

FAILURE_VALID_S = 0.8
"""Age from which a failed probe no longer justifies resetting an open flow."""

DRAIN_FINISHING_S = 2.0
"""A draining upstream that refuses connections for this long has ended, although its registration
is still there."""

FINISHING_RECHECK_S = 0.3
REMOVED_FINISHING_S = 0.25
"""Time after the removal of an upstream's registration in which its last responses may still be in
transit."""

MAX_CONCURRENT_PROBES = 16

MIN_DOMAIN_PROBE_INTERVAL_S = 1.0
"""Minimum interval between probes of a whole failure domain."""


@unique
class ProbeResult(Enum):
    """Outcome of a connection to an upstream."""

    CONNECTED = "connected"
    CONNECTED_SLOWLY = "connected_slowly"
    OTHER_SERVER = "other_server"
    REFUSED = "refused"
    TIMEOUT = "timeout"
    DISCARDED = "discarded"


_CAUSES = {
    ProbeResult.REFUSED: UnreachableCause.REFUSED,
    ProbeResult.TIMEOUT: UnreachableCause.TIMEOUT,
    ProbeResult.OTHER_SERVER: UnreachableCause.OTHER_SERVER,
}


class _ProbeState:
    """Probe state of one upstream.

    :ivar failed_probes: failed probes since the last success.
    :ivar checked_s: time of the last result.
    :ivar probed_s: start of the last probe.
    :ivar first_timeout_s: start of the first of these probes, if it timed out.
    :ivar next_s: time of the next probe; none is due unless it is after ``checked_s``.
    :ivar refused_since_s: time of the first refused connection.
    """

    __slots__ = (
        "is_probing",
        "failed_probes",
        "checked_s",
        "probed_s",
        "first_timeout_s",
        "next_s",
        "recheck_interval_s",
        "refused_since_s",
    )

    def __init__(self) -> None:
        self.is_probing = False
        self.failed_probes = 0
        self.checked_s = float("-inf")
        self.probed_s = float("-inf")
        self.first_timeout_s = float("-inf")
        self.next_s = float("-inf")
        self.recheck_interval_s = RECHECK_MIN_S
        self.refused_since_s: float | None = None


class ReachabilityMonitor:
    """Schedules probes and determines from their results which upstreams are unreachable.

    :param quiet_s: a failed probe is ignored if the upstream answered a caller after the start of
        the probe or at most this long before it.
    """

    def __init__(self, quiet_s: float = 0.0) -> None:
        self._quiet_s = quiet_s
        self._last_connected_s = float("-inf")
        self._states: dict[Lifetime, _ProbeState] = {}
        self._active_probes = 0
        self._domain_probed_s: dict[DomainId, float] = {}

    def suspect(self, upstream: Lifetime, now: float) -> None:
        """Request a probe of an upstream, unless a recent one succeeded."""
        state = self._get_state(upstream)
        if state.is_probing or upstream.is_unreachable or now - state.checked_s < SUCCESS_VALID_S:
            return
        state.next_s = now

    def pop_due(self, now: float) -> list[Lifetime]:
        """Return the upstreams to probe now; each needs a call of ``handle_result``."""
        due: list[Lifetime] = []
        for upstream, state in list(self._states.items()):
            if self._is_done(upstream, state, now):
                del self._states[upstream]
            elif not state.is_probing and state.checked_s < state.next_s <= now:
                if self._active_probes >= MAX_CONCURRENT_PROBES:
                    break
                state.is_probing = True
                state.probed_s = now
                self._active_probes += 1
                due.append(upstream)
        return due

    def handle_result(self, upstream: Lifetime, result: ProbeResult, now: float) -> bool:
        """Process the result of a probe.

        :returns: True if the upstream became reachable or unreachable.
        """
        state = self._states.get(upstream)
        if state is None:
            return False
        state.is_probing = False
        self._active_probes -= 1
        if result is ProbeResult.DISCARDED:
            state.next_s = now
            return False
        state.checked_s = now
        if result is ProbeResult.CONNECTED:
            self._last_connected_s = now
        if result in (ProbeResult.CONNECTED, ProbeResult.CONNECTED_SLOWLY):
            state.failed_probes = 0
            state.refused_since_s = None
            state.recheck_interval_s = RECHECK_MIN_S
            return self._set_reachable(upstream)
        if upstream.answered_s > state.probed_s - self._quiet_s:
            state.failed_probes = 0
            state.next_s = now + self._quiet_s
            return False
        if result is ProbeResult.REFUSED and self._may_be_finishing(upstream, state, now):
            state.next_s = now + FINISHING_RECHECK_S
            return False
        state.failed_probes += 1
        if result is ProbeResult.TIMEOUT and not upstream.is_unreachable:
            if state.failed_probes == 1:
                state.first_timeout_s = state.probed_s
            if (
                state.failed_probes < TIMEOUTS_TO_CONFIRM
                or self._last_connected_s < state.first_timeout_s
            ):
                state.checked_s = float("-inf")
                state.next_s = now
                return False
        state.next_s = now + state.recheck_interval_s
        state.recheck_interval_s = min(RECHECK_MAX_S, state.recheck_interval_s * 2)
        return self._set_unreachable(upstream, _CAUSES[result], now)

    def list_unreachable(self) -> list[Lifetime]:
        """Return the unreachable upstreams."""
        return [upstream for upstream in self._states if upstream.is_unreachable]

    def is_confirmed_unreachable(self, upstream: Lifetime, now: float) -> bool:
        """Return whether an unreachable upstream failed a recent probe or has ended."""
        if upstream.phase is UpstreamPhase.GONE:
            return True
        state = self._states.get(upstream)
        return state is not None and now - state.checked_s < FAILURE_VALID_S

    def check(self, upstream: Lifetime, now: float) -> None:
        """Request a probe of an unsuspected upstream, to check that probes work at all."""
        state = self._get_state(upstream)
        if not state.is_probing:
            state.checked_s = min(state.checked_s, now - SUCCESS_VALID_S)
            state.next_s = now

    def suspect_domain(self, domain: DomainId, present: Iterable[Lifetime], now: float) -> None:
        """Request probes of a whole failure domain after one of its upstreams became unreachable.

        :param present: the upstreams of all failure domains.
        """
        if now - self._domain_probed_s.get(domain, float("-inf")) < MIN_DOMAIN_PROBE_INTERVAL_S:
            return
        self._domain_probed_s[domain] = now
        for upstream in present:
            if upstream.entry.domain == domain:
                self.suspect(upstream, now)

    def _get_state(self, upstream: Lifetime) -> _ProbeState:
        state = self._states.get(upstream)
        if state is None:
            state = self._states[upstream] = _ProbeState()
        return state

    def _may_be_finishing(self, upstream: Lifetime, state: _ProbeState, now: float) -> bool:
        """Return whether a leaving upstream that refuses connections may still answer requests."""
        if state.refused_since_s is None:
            state.refused_since_s = now
        if upstream.phase is UpstreamPhase.DRAINING:
            return now - state.refused_since_s < DRAIN_FINISHING_S
        has_left = upstream.phase is UpstreamPhase.GONE
        return has_left and now - upstream.phase_since_s < REMOVED_FINISHING_S

    def _is_done(self, upstream: Lifetime, state: _ProbeState, now: float) -> bool:
        if state.is_probing:
            return False
        if upstream.phase is UpstreamPhase.GONE and upstream.is_unreachable:
            return True
        return not upstream.is_unreachable and state.next_s <= state.checked_s < now - RECHECK_MIN_S

    def _set_reachable(self, upstream: Lifetime) -> bool:
        has_changed = upstream.is_unreachable
        upstream.is_unreachable = False
        return has_changed

    def _set_unreachable(self, upstream: Lifetime, cause: UnreachableCause, now: float) -> bool:
        has_changed = not upstream.is_unreachable
        upstream.mark_unreachable(cause, now)
        return has_changed

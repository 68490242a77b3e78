"""Confirms by connections that a suspected upstream can't be reached.

A probe is a bare connection at first. Whether an unreachable upstream is back is asked with a
health check, since its address may belong to another server meanwhile.

Packets alone do not tell a dead upstream from a slow one. A refused connection proves that its
process has ended; connections that time out twice, while one to another upstream succeeds quickly,
prove that no packet from this entry arrives there. Only then the flows of the upstream are reset.
A congested link or a slow entry delays all connections alike, and proves nothing.
"""

from collections.abc import Iterable
from enum import Enum, unique

from chicoryproxy.forwarding.directory import Lifetime
from chicoryproxy.forwarding.model import UpstreamPhase
from chicoryproxy.ids import DomainId

TIMEOUTS_TO_CONFIRM = 2
RECHECK_MIN_S = 0.6
RECHECK_MAX_S = 4.0
"""The probes of an unreachable upstream begin at the first interval and slow down to this one."""

SUCCESS_VALID_S = 0.4
"""A probe that succeeded is not repeated within this time."""

FAILURE_VALID_S = 0.8
"""Age of a failed probe at which it proves nothing about an open flow any more."""

FINISHING_S = 2.0
"""A draining upstream that refuses connections for this long has ended without saying so."""

FINISHING_RECHECK_S = 0.3
REMOVED_FINISHING_S = 0.25
"""Time after an upstream's entry was removed in which its last answers may be on their way."""

MAX_CONCURRENT = 16

MIN_DOMAIN_PROBE_INTERVAL_S = 1.0
"""Shortest interval of the probes of a whole failure domain."""


@unique
class ProbeResult(Enum):
    """What became of a connection to an upstream."""

    CONNECTED = "connected"
    CONNECTED_SLOWLY = "connected_slowly"
    OTHER_SERVER = "other_server"
    REFUSED = "refused"
    TIMEOUT = "timeout"
    DISCARDED = "discarded"


class _ProbeState:
    """What the probes of one upstream have shown."""

    __slots__ = (
        "is_probing",
        "timeouts",
        "checked_s",
        "probed_s",
        "first_timeout_s",
        "next_s",
        "recheck_interval_s",
        "refused_since_s",
    )

    def __init__(self) -> None:
        self.is_probing = False
        self.timeouts = 0
        self.checked_s = float("-inf")
        self.probed_s = float("-inf")
        self.first_timeout_s = float("-inf")
        self.next_s = float("-inf")
        self.recheck_interval_s = RECHECK_MIN_S
        self.refused_since_s: float | None = None


class ReachabilityMonitor:
    """Decides which upstreams to probe, and what the results mean.

    :param quiet_s: an upstream that answered a caller this shortly before the end of a probe is
        reachable, whatever the probe says.
    """

    def __init__(self, quiet_s: float = 0.0) -> None:
        self._quiet_s = quiet_s
        self._last_connected_s = float("-inf")
        self._states: dict[Lifetime, _ProbeState] = {}
        self._active_probes = 0
        self._domain_probed_s: dict[DomainId, float] = {}

    def suspect(self, upstream: Lifetime, now: float) -> None:
        """Ask for a probe of an upstream, unless one succeeded just now."""
        state = self._get_state(upstream)
        if state.is_probing or upstream.is_unreachable or now - state.checked_s < SUCCESS_VALID_S:
            return
        state.next_s = now

    def pop_due(self, now: float) -> list[Lifetime]:
        """Return the upstreams to probe now; each must get a result."""
        due: list[Lifetime] = []
        for upstream, state in list(self._states.items()):
            if self._is_done(upstream, state, now):
                del self._states[upstream]
            elif not state.is_probing and state.checked_s < state.next_s <= now:
                if self._active_probes >= MAX_CONCURRENT:
                    break
                state.is_probing = True
                state.probed_s = now
                self._active_probes += 1
                due.append(upstream)
        return due

    def handle_result(self, upstream: Lifetime, result: ProbeResult, now: float) -> bool:
        """Take the result of a probe.

        :returns: True if the upstream became reachable or unreachable by it.
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
            state.timeouts = 0
            state.refused_since_s = None
            state.recheck_interval_s = RECHECK_MIN_S
            return self._set_unreachable(upstream, False)
        if upstream.answered_s > state.probed_s - self._quiet_s:
            state.timeouts = 0
            state.next_s = now + self._quiet_s
            return False
        if result is ProbeResult.REFUSED and self._may_be_finishing(upstream, state, now):
            state.next_s = now + FINISHING_RECHECK_S
            return False
        state.timeouts += 1
        if result is ProbeResult.TIMEOUT and not upstream.is_unreachable:
            if state.timeouts == 1:
                state.first_timeout_s = state.probed_s
            if (
                state.timeouts < TIMEOUTS_TO_CONFIRM
                or self._last_connected_s < state.first_timeout_s
            ):
                state.checked_s = float("-inf")
                state.next_s = now
                return False
        state.next_s = now + state.recheck_interval_s
        state.recheck_interval_s = min(RECHECK_MAX_S, state.recheck_interval_s * 2)
        return self._set_unreachable(upstream, True)

    def list_unreachable(self) -> list[Lifetime]:
        """Return the present upstreams that are out of reach."""
        return [upstream for upstream in self._states if upstream.is_unreachable]

    def is_confirmed_unreachable(self, upstream: Lifetime, now: float) -> bool:
        """Tell whether an unreachable upstream was out of reach just now, or has ended for good."""
        if upstream.phase is UpstreamPhase.GONE:
            return True
        state = self._states.get(upstream)
        return state is not None and now - state.checked_s < FAILURE_VALID_S

    def check(self, upstream: Lifetime, now: float) -> None:
        """Ask for a probe of an upstream in good standing, to see whether probes get through."""
        state = self._get_state(upstream)
        if not state.is_probing:
            state.checked_s = min(state.checked_s, now - SUCCESS_VALID_S)
            state.next_s = now

    def suspect_domain(self, domain: DomainId, present: Iterable[Lifetime], now: float) -> None:
        """Ask for probes of a whole failure domain, of which an upstream is out of reach.

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
        """Tell whether a leaving upstream that accepts no connection may still answer requests."""
        if state.refused_since_s is None:
            state.refused_since_s = now
        if upstream.phase is UpstreamPhase.DRAINING:
            return now - state.refused_since_s < FINISHING_S
        has_left = upstream.phase is UpstreamPhase.GONE
        return has_left and now - upstream.phase_since_s < REMOVED_FINISHING_S

    def _is_done(self, upstream: Lifetime, state: _ProbeState, now: float) -> bool:
        if state.is_probing:
            return False
        if upstream.phase is UpstreamPhase.GONE and upstream.is_unreachable:
            return True
        return not upstream.is_unreachable and state.next_s <= state.checked_s < now - RECHECK_MIN_S

    def _set_unreachable(self, upstream: Lifetime, is_unreachable: bool) -> bool:
        has_changed = upstream.is_unreachable is not is_unreachable
        upstream.is_unreachable = is_unreachable
        return has_changed

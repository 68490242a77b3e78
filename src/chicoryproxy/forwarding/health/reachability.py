"""Active probing that confirms whether a suspected upstream is unreachable.

The first probe only opens a connection. Probes of an unreachable upstream use a health check,
because its address may have been reassigned to another server.

Passive observation can't distinguish a dead upstream from a slow one. A refused connection proves
that its process has ended; two connections in a row that time out prove that packets of this entry
do not arrive, if one to another upstream succeeds quickly that was started between the two or
together with the last. The flows of the upstream are reset only then. A congested link or a slow
entry delays all connections alike and proves nothing, nor does a connection that succeeds when it
is over.

Where connections may fail although an upstream works, one that the upstream itself resets shows
that it is alive and full; elsewhere a reset counts as a timeout (see ``interpret``). While
responses are late, timeouts have to go on for longer, and probes are rarer.
"""

from collections import deque
from enum import Enum, unique

from chicoryproxy.forwarding.load.overload import (
    OVERLOAD_CONFIRMATION_S,
    NoOverloadDetector,
    OverloadDetector,
)
from chicoryproxy.forwarding.model import UnreachableCause, UpstreamPhase
from chicoryproxy.forwarding.view.lifetime import Lifetime

TIMEOUTS_TO_CONFIRM = 2
MAX_CONTROLS = 64
"""Number of quick connections whose start is kept; more succeed only while nothing is wrong."""

RECHECK_MIN_S = 0.6
RECHECK_MAX_S = 4.0
"""The interval between probes of an unreachable upstream doubles from the minimum up to this."""

SUCCESS_VALID_S = 0.4
"""After a successful probe the upstream is not probed again for this long."""

FAILURE_VALID_S = 0.8
"""Age from which a failed probe no longer justifies resetting an open flow."""

ANSWER_VALID_S = 0.5
"""Timeouts prove nothing about an upstream that a caller acknowledged within this time: its packets
may wait that long at a full link, and those of a new connection with them."""

OVERLOAD_RETRY_S = 0.25
"""Under overload the next probe comes this long after a timeout, since probes fill queues too."""

OVERLOAD_SUCCESS_VALID_S = 1.0
"""Replaces ``SUCCESS_VALID_S`` under overload: most requests are late then, and each of them would
cause a probe. It delays the proof of a death by this at most."""

DRAIN_FINISHING_S = 2.0
"""A draining upstream that refuses connections for this long and answers no caller of this entry
has ended, although its registration is still there."""

FINISHING_RECHECK_S = 0.3
REMOVED_FINISHING_S = 0.25
"""Time after the removal of an upstream's registration in which its last responses may still be in
transit."""

MAX_FLOW_S = 60.0
"""An upstream that has ended for this long has no flows."""

MAX_CONCURRENT_PROBES = 16


@unique
class ProbeResult(Enum):
    """Outcome of a connection to an upstream.

    ``SILENT``: a server accepted the connection, but did not say which one it is; it may be busy.
    ``RESET``: a server reset the connection as quickly as ``CONNECTED``; it may be alive and full.
    ``RESET_SLOWLY``: the same, but as slowly as ``CONNECTED_SLOWLY``.
    """

    CONNECTED = "connected"
    CONNECTED_SLOWLY = "connected_slowly"
    OTHER_SERVER = "other_server"
    SILENT = "silent"
    RESET = "reset"
    RESET_SLOWLY = "reset_slowly"
    REFUSED = "refused"
    TIMEOUT = "timeout"
    DISCARDED = "discarded"


_RESETS = (ProbeResult.RESET, ProbeResult.RESET_SLOWLY)

_CAUSES = {
    ProbeResult.REFUSED: UnreachableCause.REFUSED,
    ProbeResult.TIMEOUT: UnreachableCause.TIMEOUT,
    ProbeResult.OTHER_SERVER: UnreachableCause.OTHER_SERVER,
}


class _ProbeState:
    """Probe state of one upstream.

    :ivar is_awaited: flows of the unreachable upstream wait for a new proof.
    :ivar is_control: the next probe is started beyond the limit of concurrent ones.
    :ivar failed_probes: timeouts since the last success or request of a new proof.
    :ivar failing_since_s: start of the first of them.
    :ivar confirmation_s: how long they have to go on, the longest since the first of them.
    :ivar checked_s: time of the last result.
    :ivar proved_s: time of the last result that proved the upstream unreachable.
    :ivar probed_s: start of the last probe.
    :ivar last_timeout_s: start of the last of these probes that timed out.
    :ivar next_s: time of the next probe; none is due unless it is after ``checked_s``.
    :ivar refused_since_s: time of the first refused connection, or of a later answer.
    """

    __slots__ = (
        "is_probing",
        "is_awaited",
        "is_control",
        "failed_probes",
        "failing_since_s",
        "confirmation_s",
        "checked_s",
        "proved_s",
        "probed_s",
        "last_timeout_s",
        "next_s",
        "recheck_interval_s",
        "refused_since_s",
    )

    def __init__(self) -> None:
        self.is_probing = False
        self.is_awaited = False
        self.is_control = False
        self.failed_probes = 0
        self.failing_since_s = float("-inf")
        self.confirmation_s = 0.0
        self.checked_s = float("-inf")
        self.proved_s = float("-inf")
        self.probed_s = float("-inf")
        self.last_timeout_s = float("-inf")
        self.next_s = float("-inf")
        self.recheck_interval_s = RECHECK_MIN_S
        self.refused_since_s: float | None = None

    def clear_timeouts(self) -> None:
        """Forget the timeouts so far; others are needed for a proof."""
        self.failed_probes = 0
        self.confirmation_s = 0.0

    def record_success(self) -> None:
        """Forget the failures before a successful probe."""
        self.clear_timeouts()
        self.proved_s = float("-inf")
        self.is_awaited = False
        self.refused_since_s = None
        self.recheck_interval_s = RECHECK_MIN_S


class ReachabilityMonitor:
    """Schedules probes and determines from their results which upstreams are unreachable.

    :param quiet_s: a failed probe is ignored if the upstream answered a caller after the start of
        the probe or at most this long before it.
    :param overload: tells whether timeouts may be caused by overload.
    :param is_reset_alive: an upstream that resets connections may be full.

    :ivar is_view_behind: peers have changes that this entry lacks; any upstream may be draining.
    """

    def __init__(
        self,
        quiet_s: float = 0.0,
        overload: OverloadDetector | None = None,
        is_reset_alive: bool = False,
    ) -> None:
        self.is_view_behind = False
        self._is_reset_alive = is_reset_alive
        self._quiet_s = quiet_s
        self._overload = overload or NoOverloadDetector()
        self._controls_s: deque[float] = deque(maxlen=MAX_CONTROLS)
        self._states: dict[Lifetime, _ProbeState] = {}
        self._active_probes = 0

    def suspect(self, upstream: Lifetime, now: float) -> None:
        """Request a probe of an upstream, unless a recent one succeeded."""
        state = self._get_state(upstream)
        if state.is_probing or upstream.is_unreachable:
            return
        if state.next_s > now:
            # A timeout has already scheduled the next probe.
            return
        is_overloaded = self._overload.is_overloaded(now)
        valid_s = OVERLOAD_SUCCESS_VALID_S if is_overloaded else SUCCESS_VALID_S
        if now - state.checked_s >= valid_s:
            state.next_s = now

    def pop_due(self, now: float) -> list[Lifetime]:
        """Return the upstreams to probe now; each needs a call of ``handle_result``."""
        due: list[Lifetime] = []
        for upstream, state in list(self._states.items()):
            if self._is_done(upstream, state, now):
                del self._states[upstream]
            elif not state.is_probing and state.checked_s < state.next_s <= now:
                if self._active_probes >= MAX_CONCURRENT_PROBES and not state.is_control:
                    continue
                state.is_probing = True
                state.is_control = False
                state.probed_s = now
                self._active_probes += 1
                due.append(upstream)
        return due

    def interpret(self, result: ProbeResult) -> ProbeResult:
        """Return ``TIMEOUT`` for a reset that no full upstream can have caused.

        A host in between may reset the connections to an upstream that is dead.
        """
        is_failure = result in _RESETS and not self._is_reset_alive
        return ProbeResult.TIMEOUT if is_failure else result

    def handle_result(self, upstream: Lifetime, result: ProbeResult, now: float) -> bool:
        """Process the result of a probe, as ``interpret`` returned it.

        :returns: True if the upstream became reachable or unreachable, or was proved unreachable
            again for the flows that waited for it.
        """
        state = self._states.get(upstream)
        if state is None:
            return False
        state.is_probing = False
        self._active_probes -= 1
        if upstream.is_replaced:
            return False
        if result is ProbeResult.DISCARDED:
            state.next_s = now
            return False
        state.checked_s = now
        if result in (ProbeResult.CONNECTED, ProbeResult.RESET):
            self._controls_s.append(state.probed_s)
        if result in _RESETS:
            state.refused_since_s = None
        if result in (ProbeResult.CONNECTED, ProbeResult.CONNECTED_SLOWLY):
            state.record_success()
            return self._set_reachable(upstream)
        return self._handle_failure(upstream, state, result, now)

    def list_unreachable(self) -> list[Lifetime]:
        """Return the unreachable upstreams that have not ended."""
        return [
            upstream
            for upstream in self._states
            if upstream.is_unreachable and upstream.phase is not UpstreamPhase.GONE
        ]

    def is_confirmed_unreachable(self, upstream: Lifetime, now: float) -> bool:
        """Return whether an unreachable upstream failed a recent probe or was replaced.

        A registration that has lapsed adds nothing to an old failed probe.
        """
        if upstream.is_replaced:
            return True
        state = self._states.get(upstream)
        return state is not None and now - state.proved_s < FAILURE_VALID_S

    def recheck(self, upstream: Lifetime, now: float) -> None:
        """Request the next probe of an unreachable upstream at once."""
        state = self._states.get(upstream)
        if state is not None and upstream.is_unreachable and not state.is_probing:
            state.next_s = now

    def needs_control(self, upstream: Lifetime) -> bool:
        """Return whether a timeout of an upstream could prove something, for its flows."""
        state = self._states.get(upstream)
        return not upstream.is_unreachable or (state is not None and state.is_awaited)

    def is_failing(self, upstream: Lifetime) -> bool:
        """Return whether the last probe of an upstream timed out."""
        state = self._states.get(upstream)
        return state is not None and state.failed_probes > 0

    def check(self, upstream: Lifetime, now: float, is_control: bool = False) -> None:
        """Request a probe of an unsuspected upstream.

        :param is_control: it shows whether probes work at all. It does not wait for the others,
            whose results mean nothing without it.
        """
        state = self._get_state(upstream)
        if upstream.is_unreachable and not state.is_awaited:
            state.is_awaited = True
            state.clear_timeouts()
        if not state.is_probing:
            state.is_control = is_control
            state.checked_s = min(state.checked_s, now - SUCCESS_VALID_S)
            state.next_s = now

    def _handle_failure(
        self, upstream: Lifetime, state: _ProbeState, result: ProbeResult, now: float
    ) -> bool:
        """Decide whether a failed probe proves that the upstream is unreachable."""
        if upstream.answered_s > state.probed_s - self._quiet_s:
            state.clear_timeouts()
            state.next_s = now + self._quiet_s
            return False
        if result is ProbeResult.REFUSED and self._may_be_finishing(upstream, state, now):
            state.next_s = now + FINISHING_RECHECK_S
            return False
        if result is ProbeResult.SILENT or result in _RESETS:
            state.clear_timeouts()
            if upstream.is_unreachable:
                self._schedule_recheck(upstream, state, now)
            return False
        if result is ProbeResult.TIMEOUT and not self._is_proved_by_timeout(upstream, state, now):
            return False
        state.proved_s = now
        self._schedule_recheck(upstream, state, now)
        was_awaited, state.is_awaited = state.is_awaited, False
        return self._set_unreachable(upstream, _CAUSES[result], now) or was_awaited

    def _get_state(self, upstream: Lifetime) -> _ProbeState:
        state = self._states.get(upstream)
        if state is None:
            state = self._states[upstream] = _ProbeState()
        return state

    def _schedule_recheck(self, upstream: Lifetime, state: _ProbeState, now: float) -> None:
        if upstream.phase is UpstreamPhase.GONE:
            return
        state.next_s = now + state.recheck_interval_s
        state.recheck_interval_s = min(RECHECK_MAX_S, state.recheck_interval_s * 2)

    def _is_proved_by_timeout(self, upstream: Lifetime, state: _ProbeState, now: float) -> bool:
        """Return whether a timeout is the second one, and the network worked when it began.

        An upstream that answers callers all the same isn't unreachable.
        If not, the next probe is scheduled.
        """
        if not state.failed_probes:
            state.failing_since_s = state.probed_s
        state.failed_probes += 1
        if self._overload.is_overloaded(now):
            # Kept after the overload: this upstream may be the last one to recover.
            state.confirmation_s = OVERLOAD_CONFIRMATION_S
        has_lasted = now - state.failing_since_s >= state.confirmation_s
        is_answering = now - upstream.answered_s < max(ANSWER_VALID_S, state.confirmation_s)
        is_network_working = any(
            state.last_timeout_s <= started_s <= state.probed_s for started_s in self._controls_s
        )
        is_repeated = state.failed_probes >= TIMEOUTS_TO_CONFIRM
        is_confirmed = is_repeated and has_lasted and is_network_working and not is_answering
        state.last_timeout_s = state.probed_s
        if upstream.is_unreachable and not state.is_awaited:
            self._schedule_recheck(upstream, state, now)
            return False
        if not is_confirmed:
            state.checked_s = float("-inf")
            state.next_s = now + OVERLOAD_RETRY_S if state.confirmation_s else now
        return is_confirmed

    def _may_be_finishing(self, upstream: Lifetime, state: _ProbeState, now: float) -> bool:
        """Return whether a leaving upstream that refuses connections may still answer requests."""
        if state.refused_since_s is None:
            state.refused_since_s = now
        # A process that answers after it has closed its listener has not ended.
        state.refused_since_s = max(state.refused_since_s, upstream.answered_s)
        if upstream.phase is UpstreamPhase.GONE:
            return now - upstream.phase_since_s < REMOVED_FINISHING_S
        # The registration of a draining upstream may also lapse while the store is unavailable.
        may_be_leaving = upstream.is_leaving or self.is_view_behind
        return may_be_leaving and now - state.refused_since_s < DRAIN_FINISHING_S

    def _is_done(self, upstream: Lifetime, state: _ProbeState, now: float) -> bool:
        if state.is_probing:
            return False
        if upstream.phase is UpstreamPhase.GONE and upstream.is_unreachable:
            return upstream.is_replaced or now - upstream.phase_since_s > MAX_FLOW_S
        is_outdated = state.checked_s < now - OVERLOAD_SUCCESS_VALID_S
        return not upstream.is_unreachable and state.next_s <= state.checked_s and is_outdated

    def _set_reachable(self, upstream: Lifetime) -> bool:
        has_changed = upstream.is_unreachable
        upstream.is_unreachable = False
        return has_changed

    def _set_unreachable(self, upstream: Lifetime, cause: UnreachableCause, now: float) -> bool:
        has_changed = not upstream.is_unreachable
        upstream.mark_unreachable(cause, now)
        return has_changed

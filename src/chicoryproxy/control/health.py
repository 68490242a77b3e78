"""Derives the conditions of the upstreams owned by this instance from several signals.

See ``docs/design/health.md``. Changes to a more restrictive state apply immediately: a false one
costs a warm-up, but a missed one overloads the upstream. Recovery uses hysteresis and requires
evidence.
"""

from collections import Counter
from collections.abc import Iterable

from msgspec import Struct

from chicoryproxy.control.conditions import ConditionStore
from chicoryproxy.control.outbox import Outbox
from chicoryproxy.control.signals import LOAD_SIGNAL_NAME, OutcomeWindow, Verdict, create_signals
from chicoryproxy.ids import UpstreamId
from chicoryproxy.model import Upstream, UpstreamCondition
from chicoryproxy.prng import Prng
from chicoryproxy.protocol.actions import ReadHealth
from chicoryproxy.protocol.events import HealthReading
from chicoryproxy.protocol.messages import EntryReport, OpeningOutcomes
from chicoryproxy.states import UpstreamState

READ_INTERVAL_S = 1.0
READ_JITTER_RATIO = 0.25
"""Maximum deviation from the read interval, as a fraction of it."""

CONFIRMATION_S = 1.0
"""Time for which draining, or overload by a single signal, has to last to count, in seconds."""

RECOVERY_HOLD_S = 5.0
"""Time without a bad verdict that is required before a state improves, in seconds."""

DISTRUST_S = 30.0
DISTRUST_WARM_UPS = 2.0
"""Time for which answered openings have to contradict a signal before it is ignored: this many
warm-up times of the upstream, but at least ``DISTRUST_S``."""

FIRST_READ_SPREAD_S = 0.2
"""Period over which a new owner spreads its first reads, in seconds."""

EARLY_RAMP_RATIO = 0.5
"""Fraction of the warm-up time before which a full ramp is attributed to the previous warm-up."""

_BAD_VERDICTS = frozenset((Verdict.DRAINING, Verdict.WARMING, Verdict.COLD, Verdict.UNREACHABLE))


class SignalEvidence(Struct, frozen=True):
    """Verdict of one signal on an upstream.

    :param is_distrusted: the verdict is ignored because answered openings contradict it.
    """

    signal: str
    verdict: Verdict
    is_distrusted: bool


class UpstreamEvidence(Struct, frozen=True):
    """Condition of an upstream owned by this instance, with the verdicts behind it."""

    condition: UpstreamCondition
    signals: tuple[SignalEvidence, ...]


class _SignalTrust:
    """Tracks for how long answered openings have contradicted a signal."""

    __slots__ = ("contradicted_since", "is_distrusted")

    def __init__(self) -> None:
        self.contradicted_since: float | None = None
        self.is_distrusted = False

    def update(self, verdict: Verdict, is_contradicted: bool, limit_s: float, now: float) -> None:
        """Update the trust after an evaluation of the signal.

        :param is_contradicted: most recent openings were answered.
        :param limit_s: duration of a contradiction after which the signal is distrusted.
        """
        if verdict in (Verdict.HEALTHY, Verdict.SILENT):
            self.contradicted_since = None
            self.is_distrusted = False
        elif not is_contradicted:
            self.contradicted_since = None
        elif self.contradicted_since is None:
            self.contradicted_since = now
        elif now - self.contradicted_since >= limit_s:
            self.is_distrusted = True


class UpstreamHealth:
    """Assesses the health of one upstream.

    :param upstream: the upstream as published.
    :param since: time of the last change of its condition.
    """

    def __init__(self, upstream: Upstream, since: float) -> None:
        self.upstream = upstream
        self._window = OutcomeWindow()
        self._signals = create_signals(upstream, self._window)
        self._trust = {signal.name: _SignalTrust() for signal in self._signals}
        self._evidence: tuple[SignalEvidence, ...] = ()
        self._warm_up_started_at = since
        self._bad_verdict_at: float | None = None
        self._overloaded_since: float | None = None
        self._draining_since: float | None = None
        self._answered_at: float | None = None
        self._warmed_at: float | None = None

    @property
    def evidence(self) -> tuple[SignalEvidence, ...]:
        """Verdicts of the last assessment."""
        return self._evidence

    def observe_reading(self, reading: HealthReading, now: float) -> None:
        """Pass a health reading to all signals."""
        for signal in self._signals:
            signal.observe_reading(reading, now)

    def observe_outcomes(self, outcomes: OpeningOutcomes, now: float) -> None:
        """Record the outcomes of openings."""
        self._window.add(outcomes, now)
        if outcomes.answered:
            self._answered_at = now

    def observe_warmed(self, now: float) -> None:
        """Record that the ramp of grants has reached full capacity."""
        if now - self._warm_up_started_at >= EARLY_RAMP_RATIO * self.upstream.warm_up.duration_s:
            self._warmed_at = now

    def restart_warm_up(self, now: float) -> None:
        """Restart the warm-up."""
        self._warm_up_started_at = now
        self._warmed_at = None
        self._overloaded_since = None

    def assess(self, condition: UpstreamCondition, now: float) -> UpstreamState:
        """Return the state that follows from the evidence.

        :param condition: the current condition; its epoch is zero if no instance has assessed
            the upstream yet.
        """
        verdicts = self._evaluate(now)
        if _BAD_VERDICTS & verdicts.keys():
            self._bad_verdict_at = now
        state = condition.state
        if Verdict.UNREACHABLE in verdicts and not self._answers_openings(now):
            # A faulty health endpoint must not disable an upstream that answers openings.
            return UpstreamState.UNREACHABLE
        if state is UpstreamState.UNREACHABLE:
            is_back = Verdict.HEALTHY in verdicts or self._answers_openings(now)
            return UpstreamState.COLD if is_back else state
        if Verdict.COLD in verdicts:
            return UpstreamState.COLD
        if state in (UpstreamState.COLD, UpstreamState.WARMING):
            return self._assess_warming(condition, verdicts, now)
        if Verdict.WARMING in verdicts:
            # An upstream that was ready has restarted.
            return UpstreamState.COLD
        if self._is_draining(verdicts, now):
            return UpstreamState.DRAINING
        if state is UpstreamState.DRAINING and not self._reports_ready():
            return state
        return self._assess_load(state, verdicts[Verdict.OVERLOADED], now)

    def describe(self) -> str:
        """Return the relevant verdicts as text for the log."""
        reported = [
            f"{entry.signal} {entry.verdict.value}"
            for entry in self._evidence
            if entry.verdict is not Verdict.SILENT and not entry.is_distrusted
        ]
        return ", ".join(reported) or "openings answered"

    def _evaluate(self, now: float) -> Counter[Verdict]:
        answers_openings = self._answers_openings(now)
        limit_s = max(DISTRUST_S, DISTRUST_WARM_UPS * self.upstream.warm_up.duration_s)
        evidence = []
        for signal in self._signals:
            verdict = signal.evaluate(now)
            trust = self._trust[signal.name]
            trust.update(verdict, answers_openings, limit_s, now)
            evidence.append(SignalEvidence(signal.name, verdict, trust.is_distrusted))
        self._evidence = tuple(evidence)
        return Counter(entry.verdict for entry in evidence if not entry.is_distrusted)

    def _answers_openings(self, now: float) -> bool:
        outcomes = self._window.sum(now)
        return outcomes.answered > outcomes.refused + outcomes.lost

    def _is_stable(self, now: float) -> bool:
        return self._bad_verdict_at is None or now - self._bad_verdict_at >= RECOVERY_HOLD_S

    def _assess_warming(
        self, condition: UpstreamCondition, verdicts: Counter[Verdict], now: float
    ) -> UpstreamState:
        if condition.epoch == 0 and Verdict.WARMING not in verdicts and self._reports_ready():
            return UpstreamState.READY
        if condition.state is UpstreamState.COLD:
            is_answered = (
                self._answered_at is not None and self._answered_at > self._warm_up_started_at
            )
            return UpstreamState.WARMING if is_answered else UpstreamState.COLD
        is_over = now - self._warm_up_started_at >= self.upstream.warm_up.duration_s
        is_warm = self._warmed_at is not None and is_over and self._is_stable(now)
        return UpstreamState.READY if is_warm else UpstreamState.WARMING

    def _is_draining(self, verdicts: Counter[Verdict], now: float) -> bool:
        """Return whether the upstream has reported draining for ``CONFIRMATION_S``."""
        if Verdict.DRAINING not in verdicts:
            self._draining_since = None
            return False
        if self._draining_since is None:
            self._draining_since = now
        return now - self._draining_since >= CONFIRMATION_S

    def _reports_ready(self) -> bool:
        return any(
            entry.verdict is Verdict.HEALTHY
            for entry in self._evidence
            if entry.signal == LOAD_SIGNAL_NAME
        )

    def _assess_load(self, state: UpstreamState, overloaded: int, now: float) -> UpstreamState:
        if not overloaded:
            self._overloaded_since = None
            return UpstreamState.READY if self._is_stable(now) else state
        self._bad_verdict_at = now
        if self._overloaded_since is None:
            self._overloaded_since = now
        is_confirmed = now - self._overloaded_since >= CONFIRMATION_S
        return UpstreamState.SHEDDING if overloaded > 1 or is_confirmed else state


class HealthMonitor:
    """Schedules health reads of the upstreams owned by this instance and assesses them.

    :param seed: seed of the jitter between reads.
    :param conditions: receives the state changes.
    :param outbox: receives the read requests.
    """

    def __init__(self, seed: int, conditions: ConditionStore, outbox: Outbox) -> None:
        self._conditions = conditions
        self._outbox = outbox
        self._prng = Prng(seed, "health")
        self._owned: dict[UpstreamId, UpstreamHealth] = {}
        self._due_at: dict[UpstreamId, float] = {}
        self._epochs: dict[UpstreamId, int] = {}

    def set_owned(self, upstreams: Iterable[Upstream], now: float) -> None:
        """Replace the owned upstreams; new ones continue from their gossiped condition."""
        wanted = {upstream.id: upstream for upstream in upstreams}
        for lost in self._owned.keys() - wanted.keys():
            del self._owned[lost], self._due_at[lost]
            self._epochs.pop(lost, None)
            self._outbox.log("health", "ownership moved to another instance", lost)
        for upstream in wanted.values():
            known = self._owned.get(upstream.id)
            if known is None or known.upstream != upstream:
                self._take_ownership(upstream, now)

    def receive_reading(self, reading: HealthReading, now: float) -> None:
        """Handle a health reading; those of upstreams no longer owned are ignored."""
        health = self._owned.get(reading.upstream)
        if health is not None:
            health.observe_reading(reading, now)
            self._assess(health, now)

    def receive_report(self, report: EntryReport, now: float) -> None:
        """Handle what the entry reports about owned upstreams."""
        for outcomes in report.outcomes:
            if outcomes.upstream in self._owned:
                self._owned[outcomes.upstream].observe_outcomes(outcomes, now)
        for upstream in report.warmed:
            if upstream in self._owned:
                self._owned[upstream].observe_warmed(now)
        reported = {outcomes.upstream for outcomes in report.outcomes}.union(report.warmed)
        for upstream in sorted(reported & self._owned.keys()):
            self._assess(self._owned[upstream], now)

    def tick(self, now: float) -> None:
        """Request due reads and reassess those upstreams, as states also change with time."""
        for upstream, due_at in self._due_at.items():
            if now >= due_at:
                health = self._owned[upstream]
                self._due_at[upstream] = now + self._jittered_interval()
                if health.upstream.health_url:
                    self._outbox.add(ReadHealth(upstream, health.upstream.health_url))
                self._assess(health, now)

    def list_owned(self) -> tuple[UpstreamId, ...]:
        """Return the ids of the owned upstreams."""
        return tuple(self._owned)

    def list_evidence(self) -> tuple[UpstreamEvidence, ...]:
        """Return the evidence for each owned upstream."""
        evidence = []
        for upstream in sorted(self._owned):
            condition = self._conditions.get(upstream)
            if condition is not None:
                signals = self._owned[upstream].evidence
                evidence.append(UpstreamEvidence(condition, signals))
        return tuple(evidence)

    def _take_ownership(self, upstream: Upstream, now: float) -> None:
        condition = self._conditions.get(upstream.id)
        since = condition.since_s if condition is not None else now
        self._owned[upstream.id] = UpstreamHealth(upstream, since)
        self._due_at[upstream.id] = now + self._prng.draw_fraction() * FIRST_READ_SPREAD_S
        self._outbox.log("health", "ownership taken by this instance", upstream.id)

    def _jittered_interval(self) -> float:
        return READ_INTERVAL_S * (
            1.0 + READ_JITTER_RATIO * (2.0 * self._prng.draw_fraction() - 1.0)
        )

    def _assess(self, health: UpstreamHealth, now: float) -> None:
        condition = self._conditions.get(health.upstream.id)
        if condition is None:
            return
        self._check_epoch(health, condition, now)
        state = health.assess(condition, now)
        if state is condition.state:
            return
        self._conditions.set_state(health.upstream.id, state, health.describe(), now)
        if state is UpstreamState.COLD:
            health.restart_warm_up(now)
        self._epochs[health.upstream.id] = condition.epoch + 1

    def _check_epoch(
        self, health: UpstreamHealth, condition: UpstreamCondition, now: float
    ) -> None:
        """Restart the warm-up if a version or another owner has made the upstream cold."""
        known = self._epochs.get(health.upstream.id, condition.epoch)
        if condition.epoch != known and condition.state is UpstreamState.COLD:
            health.restart_warm_up(now)
        self._epochs[health.upstream.id] = condition.epoch


def create_health_monitor(seed: int, conditions: ConditionStore, outbox: Outbox) -> HealthMonitor:
    """Create a health monitor that owns no upstreams yet."""
    return HealthMonitor(seed, conditions, outbox)

"""Health signals of an upstream, none of which is reliable on its own."""

from abc import ABC, abstractmethod
from collections import deque
from enum import Enum, unique

from msgspec import Struct

from chicoryproxy.model import Capacity, Upstream
from chicoryproxy.protocol.events import HealthReading
from chicoryproxy.protocol.messages import OpeningOutcomes
from chicoryproxy.states import UpstreamState

LOAD_SIGNAL_NAME = "load reading"
READING_LIFETIME_S = 5.0
OUTCOME_WINDOW_S = 5.0
MIN_OPENINGS = 5
COLD_RESET_SHARE = 0.5
OVERLOAD_RESET_SHARE = 0.2
COLD_LOSS_SHARE = 0.5
OVERLOAD_LOSS_SHARE = 0.2
START_TIME_TOLERANCE_S = 1.0
RESTART_HOLD_S = 3.0
UNREACHABLE_READINGS = 3
SLOW_LATENCY_FACTOR = 8.0
SLOW_LATENCY_MIN_S = 0.25
LATENCY_AVERAGE_WEIGHT = 0.2


@unique
class Verdict(Enum):
    """Result of one health signal; ``SILENT`` means that there is no recent evidence."""

    SILENT = "silent"
    HEALTHY = "well"
    OVERLOADED = "overloaded"
    DRAINING = "draining"
    WARMING = "warming"
    COLD = "cold"
    UNREACHABLE = "unreachable"


class HealthSignal(ABC):
    """One source of evidence on the health of an upstream.

    A signal receives readings as they arrive and can be evaluated at any time. Signals based on
    opening outcomes share an ``OutcomeWindow``.
    """

    @property
    @abstractmethod
    def name(self) -> str:
        """Name of the signal in logs."""

    @abstractmethod
    def evaluate(self, now: float) -> Verdict:
        """Return the verdict based on recent evidence."""

    def observe_reading(self, reading: HealthReading, now: float) -> None:  # noqa: B027
        """Process a health reading; does nothing by default."""


class OutcomeSum(Struct, frozen=True):
    """Opening outcomes, summed over a window."""

    answered: int
    refused: int
    lost: int

    @property
    def total(self) -> int:
        """Total number of openings."""
        return self.answered + self.refused + self.lost


class _TimedOutcomes(Struct, frozen=True):
    at: float
    outcomes: OpeningOutcomes


class OutcomeWindow:
    """Sliding window over the opening outcomes of the last ``OUTCOME_WINDOW_S`` seconds."""

    def __init__(self) -> None:
        self._entries: deque[_TimedOutcomes] = deque()

    def add(self, outcomes: OpeningOutcomes, now: float) -> None:
        """Add outcomes with their time."""
        self._entries.append(_TimedOutcomes(now, outcomes))

    def sum(self, now: float) -> OutcomeSum:
        """Return the sum over the window that ends at ``now``."""
        while self._entries and self._entries[0].at < now - OUTCOME_WINDOW_S:
            self._entries.popleft()
        return OutcomeSum(
            sum(entry.outcomes.answered for entry in self._entries),
            sum(entry.outcomes.refused for entry in self._entries),
            sum(entry.outcomes.lost for entry in self._entries),
        )


class LoadSignal(HealthSignal):
    """The state and load reported by the upstream.

    :param capacity: capacity of the upstream when warm.
    """

    def __init__(self, capacity: Capacity) -> None:
        self._capacity = capacity
        self._reading: HealthReading | None = None
        self._read_at = 0.0

    @property
    def name(self) -> str:
        """Name of the signal in logs."""
        return LOAD_SIGNAL_NAME

    def observe_reading(self, reading: HealthReading, now: float) -> None:
        """Store the newest reading."""
        self._reading = reading
        self._read_at = now

    def evaluate(self, now: float) -> Verdict:
        """Return the verdict of the newest reading, unless it has expired."""
        reading = self._reading
        if reading is None or not reading.reachable or now - self._read_at > READING_LIFETIME_S:
            return Verdict.SILENT
        if reading.state is UpstreamState.COLD:
            return Verdict.COLD
        if reading.state is UpstreamState.WARMING:
            return Verdict.WARMING
        if reading.state is UpstreamState.DRAINING:
            return Verdict.DRAINING
        if reading.state is UpstreamState.SHEDDING or self._is_full(reading):
            return Verdict.OVERLOADED
        return Verdict.HEALTHY if reading.state is UpstreamState.READY else Verdict.SILENT

    def _is_full(self, reading: HealthReading) -> bool:
        slots = reading.slots_used > self._capacity.slots
        return slots or reading.connections > self._capacity.connections


class StartTimeSignal(HealthSignal):
    """Detects restarts by a change of the start time that the upstream reports."""

    def __init__(self) -> None:
        self._started_at_s = 0.0
        self._changed_at: float | None = None

    @property
    def name(self) -> str:
        """Name of the signal in logs."""
        return "start time"

    def observe_reading(self, reading: HealthReading, now: float) -> None:
        """Compare the start time with the previous one."""
        if not reading.reachable or reading.started_at_s <= 0:
            return
        known = self._started_at_s
        if known > 0 and abs(reading.started_at_s - known) > START_TIME_TOLERANCE_S:
            self._changed_at = now
        self._started_at_s = reading.started_at_s

    def evaluate(self, now: float) -> Verdict:
        """Return ``COLD`` for ``RESTART_HOLD_S`` after a restart."""
        if self._changed_at is None or now - self._changed_at > RESTART_HOLD_S:
            return Verdict.SILENT
        return Verdict.COLD


class ResetSignal(HealthSignal):
    """Share of the openings that the upstream reset.

    :param window: outcomes of the upstream's openings.
    """

    def __init__(self, window: OutcomeWindow) -> None:
        self._window = window

    @property
    def name(self) -> str:
        """Name of the signal in logs."""
        return "resets"

    def evaluate(self, now: float) -> Verdict:
        """Return the verdict on the share of resets, given enough openings."""
        outcomes = self._window.sum(now)
        if outcomes.total < MIN_OPENINGS:
            return Verdict.SILENT
        share = outcomes.refused / outcomes.total
        return _evaluate_share(share, COLD_RESET_SHARE, OVERLOAD_RESET_SHARE)


class LossSignal(HealthSignal):
    """Share of the openings that got no answer.

    :param window: outcomes of the upstream's openings.
    """

    def __init__(self, window: OutcomeWindow) -> None:
        self._window = window

    @property
    def name(self) -> str:
        """Name of the signal in logs."""
        return "lost openings"

    def evaluate(self, now: float) -> Verdict:
        """Return the verdict on the share of lost openings, given enough openings."""
        outcomes = self._window.sum(now)
        if outcomes.total < MIN_OPENINGS:
            return Verdict.SILENT
        if outcomes.lost == outcomes.total:
            return Verdict.UNREACHABLE
        return _evaluate_share(outcomes.lost / outcomes.total, COLD_LOSS_SHARE, OVERLOAD_LOSS_SHARE)


class ReachabilitySignal(HealthSignal):
    """Reachability of the health endpoint."""

    def __init__(self) -> None:
        self._failures = 0
        self._read_at: float | None = None

    @property
    def name(self) -> str:
        """Name of the signal in logs."""
        return "health endpoint"

    def observe_reading(self, reading: HealthReading, now: float) -> None:
        """Count consecutive failed readings."""
        self._failures = 0 if reading.reachable else self._failures + 1
        self._read_at = now

    def evaluate(self, now: float) -> Verdict:
        """Return ``UNREACHABLE`` after ``UNREACHABLE_READINGS`` consecutive failures."""
        if self._read_at is None or now - self._read_at > READING_LIFETIME_S:
            return Verdict.SILENT
        if self._failures >= UNREACHABLE_READINGS:
            return Verdict.UNREACHABLE
        return Verdict.SILENT if self._failures else Verdict.HEALTHY


class LatencySignal(HealthSignal):
    """Latency of the readings, compared with their moving average."""

    def __init__(self) -> None:
        self._average_s: float | None = None
        self._latency_s = 0.0
        self._read_at = 0.0

    @property
    def name(self) -> str:
        """Name of the signal in logs."""
        return "latency"

    def observe_reading(self, reading: HealthReading, now: float) -> None:
        """Store the latency and, unless it is slow, add it to the average."""
        if not reading.reachable or reading.latency_s <= 0:
            return
        self._read_at = now
        self._latency_s = reading.latency_s
        if self._average_s is None:
            self._average_s = reading.latency_s
        elif not self._is_slow():
            self._average_s += LATENCY_AVERAGE_WEIGHT * (reading.latency_s - self._average_s)

    def evaluate(self, now: float) -> Verdict:
        """Return ``OVERLOADED`` while readings take much longer than the average."""
        if self._average_s is None or now - self._read_at > READING_LIFETIME_S:
            return Verdict.SILENT
        return Verdict.OVERLOADED if self._is_slow() else Verdict.HEALTHY

    def _is_slow(self) -> bool:
        average = self._average_s or 0.0
        return self._latency_s > max(SLOW_LATENCY_MIN_S, SLOW_LATENCY_FACTOR * average)


def create_load_signal(upstream: Upstream) -> HealthSignal:
    """Create the signal of the reported state and load."""
    return LoadSignal(upstream.capacity)


def create_start_time_signal() -> HealthSignal:
    """Create the signal of the reported start time."""
    return StartTimeSignal()


def create_reset_signal(window: OutcomeWindow) -> HealthSignal:
    """Create the signal of openings that were reset."""
    return ResetSignal(window)


def create_loss_signal(window: OutcomeWindow) -> HealthSignal:
    """Create the signal of openings without an answer."""
    return LossSignal(window)


def create_reachability_signal() -> HealthSignal:
    """Create the signal of the health endpoint's reachability."""
    return ReachabilitySignal()


def create_latency_signal() -> HealthSignal:
    """Create the signal of the latency of health readings."""
    return LatencySignal()


def create_signals(upstream: Upstream, window: OutcomeWindow) -> tuple[HealthSignal, ...]:
    """Create all signals of an upstream.

    :param window: outcomes of the upstream's openings, maintained by the caller.
    """
    return (
        create_load_signal(upstream),
        create_start_time_signal(),
        create_reset_signal(window),
        create_loss_signal(window),
        create_reachability_signal(),
        create_latency_signal(),
    )


def _evaluate_share(share: float, cold: float, overloaded: float) -> Verdict:
    if share >= cold:
        return Verdict.COLD
    return Verdict.OVERLOADED if share >= overloaded else Verdict.HEALTHY

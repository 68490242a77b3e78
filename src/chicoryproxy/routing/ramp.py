"""Ramp-up of the opening rate of an upstream after a cold start.

``docs/design/cold-starts.md`` compares ramp-up strategies.
"""

from abc import ABC, abstractmethod
from math import ceil, log

from chicoryproxy.model import Capacity, WarmUp

GROWTH_FACTOR = 1.25
EVIDENCE_SHARE = 0.5
OVERRIDE_EVIDENCE_FACTOR = 4.0
MIN_FAILURES = 3
FAILURE_SHARE = 0.2


class Ramp(ABC):
    """The rate of openings that one upstream can take now."""

    @property
    @abstractmethod
    def level(self) -> float:
        """Openings per second allowed now."""

    @property
    @abstractmethod
    def is_complete(self) -> bool:
        """Whether the upstream has proved its full rate."""

    @abstractmethod
    def record_openings(self, answered: int, refused: int, lost: int, now: float) -> None:
        """Record the outcomes of openings at the current level.

        :param answered: openings that the upstream accepted.
        :param refused: openings that the upstream reset.
        :param lost: openings without an answer.
        """

    @abstractmethod
    def record_load(self, slots_used: int, connections: int, now: float) -> None:
        """Record a load reading, which may be outdated or misleading.

        :param slots_used: requests in progress; negative if unknown.
        :param connections: open connections; negative if unknown.
        """

    @abstractmethod
    def decrease_level(self, now: float) -> None:
        """Return to the previous level, for example after a sign of overload."""

    @abstractmethod
    def reset_level(self, now: float) -> None:
        """Return to the cold level immediately."""


class _EvidenceRamp(Ramp):
    """Raises the level in geometric steps, each of which requires answered openings.

    A step has two conditions: ``duration_s`` divided by the number of steps has passed since the
    last change, and the upstream has answered half of the openings that the level allows in that
    time. Under low demand the second condition takes longer; time alone never raises the level.
    A load reading of a saturated upstream holds the level for the duration of one step. Since
    readings may be misleading, four times the required answers override it. If more than a fifth
    of the openings are refused or lost, the level decreases by one step.
    """

    def __init__(self, warm_up: WarmUp, capacity: Capacity, now: float) -> None:
        self._cold = warm_up.cold_openings
        self._full = max(warm_up.full_openings, warm_up.cold_openings)
        self._capacity = capacity
        self._steps = _count_steps(self._cold, self._full)
        self._step_s = warm_up.duration_s / self._steps
        self._step = 0
        self._is_full_rate_proved = False
        self._restart_step(now)

    @property
    def level(self) -> float:
        if self._step == self._steps:
            return self._full
        return min(self._full, self._cold * GROWTH_FACTOR**self._step)

    @property
    def is_complete(self) -> bool:
        return self._is_full_rate_proved

    def record_openings(self, answered: int, refused: int, lost: int, now: float) -> None:
        self._answered += answered
        self._failures += refused + lost
        total = self._answered + self._failures
        if self._failures >= MIN_FAILURES and self._failures > FAILURE_SHARE * total:
            self.decrease_level(now)
        elif self._has_earned_step(now):
            self._raise_level(now)

    def record_load(self, slots_used: int, connections: int, now: float) -> None:
        if slots_used >= self._capacity.slots or connections >= self._capacity.connections:
            self._hold_until = now + self._step_s

    def decrease_level(self, now: float) -> None:
        self._step = max(0, self._step - 1)
        self._is_full_rate_proved = False
        self._restart_step(now)

    def reset_level(self, now: float) -> None:
        self._step = 0
        self._is_full_rate_proved = False
        self._restart_step(now)

    def _restart_step(self, now: float) -> None:
        self._step_started_at = now
        self._hold_until = now
        self._answered = 0
        self._failures = 0

    def _has_earned_step(self, now: float) -> bool:
        needed = max(1.0, EVIDENCE_SHARE * self.level * self._step_s)
        if now - self._step_started_at < self._step_s or self._answered < needed:
            return False
        return now >= self._hold_until or self._answered >= OVERRIDE_EVIDENCE_FACTOR * needed

    def _raise_level(self, now: float) -> None:
        self._step = min(self._steps, self._step + 1)
        self._is_full_rate_proved = self._step == self._steps
        self._restart_step(now)


def create_evidence_ramp(warm_up: WarmUp, capacity: Capacity, now: float = 0.0) -> Ramp:
    """Create a ramp at the cold level.

    :param warm_up: cold rate, full rate and the minimum time to get from one to the other.
    :param capacity: slots and connections at which load readings count as saturated.
    :param now: start of the first step, in seconds.
    """
    return _EvidenceRamp(warm_up, capacity, now)


def _count_steps(cold: float, full: float) -> int:
    if cold <= 0.0 or full <= cold:
        return 1
    return max(1, ceil(log(full / cold) / log(GROWTH_FACTOR)))

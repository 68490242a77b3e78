"""Growth of the openings that an upstream gets after a cold start.

``docs/design/cold-starts.md`` compares the ways to grow.
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
    """The openings per second that one upstream bears at present."""

    @property
    @abstractmethod
    def level(self) -> float:
        """Openings per second allowed now."""

    @property
    @abstractmethod
    def is_complete(self) -> bool:
        """True when the upstream has proved its full rate."""

    @abstractmethod
    def record_openings(self, answered: int, refused: int, lost: int, now: float) -> None:
        """Take in evidence about openings at the current level.

        :param answered: openings that the upstream accepted.
        :param refused: openings that the upstream reset.
        :param lost: openings without an answer.
        """

    @abstractmethod
    def record_load(self, slots_used: int, connections: int, now: float) -> None:
        """Take in a load reading, which may lag or mislead.

        :param slots_used: requests in service; negative if unknown.
        :param connections: open connections; negative if unknown.
        """

    @abstractmethod
    def decrease_level(self, now: float) -> None:
        """Go back to the level before, as after a sign of overload."""

    @abstractmethod
    def reset_level(self, now: float) -> None:
        """Go back to the cold level at once."""


class _EvidenceRamp(Ramp):
    """Geometric steps, each earned by answered openings.

    A step needs two things: ``duration_s`` divided by the number of steps must have passed since
    the last change, and the upstream must have answered half of the openings that the level
    allowed in that time. Under low demand the second takes longer than the first, and time alone
    never raises the level. A reading of a saturated upstream holds the level for one step;
    since readings may mislead, four times the evidence overrides it. Refused and lost openings
    beyond a fifth of the evidence take the level one step back.
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

    :param warm_up: cold and full rate, and the shortest time between them.
    :param capacity: slots and connections against which load readings are held.
    :param now: time from which the first step counts, in seconds.
    """
    return _EvidenceRamp(warm_up, capacity, now)


def _count_steps(cold: float, full: float) -> int:
    if cold <= 0.0 or full <= cold:
        return 1
    return max(1, ceil(log(full / cold) / log(GROWTH_FACTOR)))

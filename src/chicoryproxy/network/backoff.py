"""Exponential backoff with jitter, for retries and restarts."""

import xxhash
from msgspec import Struct

_HASH_RANGE = float(1 << 64)


class BackoffLimits(Struct, frozen=True):
    """Bounds of the delay between two attempts.

    :param first_s: upper bound of the first delay, in seconds.
    :param longest_s: upper bound of all delays, in seconds.
    """

    first_s: float = 0.1
    longest_s: float = 5.0


DEFAULT_LIMITS = BackoffLimits()


class Backoff:
    """Delays between the attempts of one operation.

    Each delay is between half of its upper bound and the bound. The bound doubles with each
    attempt, up to ``BackoffLimits.longest_s``.

    :param seed: seed of the jitter; the same seed gives the same delays.
    """

    def __init__(self, seed: int, limits: BackoffLimits = DEFAULT_LIMITS) -> None:
        self._seed = seed & ((1 << 64) - 1)
        self._limits = limits
        self._bound_s = limits.first_s
        self._draw_count = 0

    def next_delay(self) -> float:
        """Return the delay before the next attempt, in seconds."""
        bound_s = self._bound_s
        self._bound_s = min(bound_s * 2, self._limits.longest_s)
        self._draw_count += 1
        draw = (
            xxhash.xxh3_64_intdigest(self._draw_count.to_bytes(8, "big"), self._seed) / _HASH_RANGE
        )
        return bound_s * (0.5 + draw / 2)

    def reset(self) -> None:
        """Reset the bound after a successful attempt."""
        self._bound_s = self._limits.first_s

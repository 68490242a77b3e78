"""Seeded pseudo-random number generator for modules that may not import ``random``."""

from collections.abc import Sequence
from typing import TypeVar

import xxhash

Item = TypeVar("Item")

_UINT64_SCALE = 2.0**-64


class Prng:
    """A pseudo-random sequence, produced by hashing a seed, a name and a counter.

    The same seed and name give the same sequence.

    :param seed: any integer.
    :param name: name of the sequence; sequences of one seed with different names are independent.
    """

    def __init__(self, seed: int, name: str) -> None:
        self._prefix = f"{name}/{seed}/".encode()
        self._count = 0

    def draw_index(self, bound: int) -> int:
        """Return an index in ``range(bound)``."""
        return self._draw() % bound

    def draw_fraction(self) -> float:
        """Return a number in the half-open interval [0, 1)."""
        return self._draw() * _UINT64_SCALE

    def draw_sample(self, items: Sequence[Item], count: int) -> list[Item]:
        """Return up to ``count`` items, drawn without replacement, in pseudo-random order."""
        pool = list(items)
        taken = min(count, len(pool))
        for index in range(taken):
            other = index + self.draw_index(len(pool) - index)
            pool[index], pool[other] = pool[other], pool[index]
        return pool[:taken]

    def _draw(self) -> int:
        self._count += 1
        return xxhash.xxh3_64_intdigest(self._prefix + self._count.to_bytes(8, "little"))

"""Pseudo-random choices from a seed and a counter, for modules that may not import ``random``."""

from collections.abc import Sequence
from typing import TypeVar

import xxhash

Item = TypeVar("Item")

_UINT64_SCALE = 2.0**-64


class Prng:
    """A sequence of pseudo-random choices; the same seed gives the same sequence.

    :param seed: any integer.
    :param name: separates the sequences of several users of one seed.
    """

    def __init__(self, seed: int, name: str) -> None:
        self._prefix = f"{name}/{seed}/".encode()
        self._count = 0

    def draw_index(self, bound: int) -> int:
        """Return an index from zero to ``bound`` minus one."""
        return self._draw() % bound

    def draw_fraction(self) -> float:
        """Return a number from zero, inclusive, to one, exclusive."""
        return self._draw() * _UINT64_SCALE

    def draw_sample(self, items: Sequence[Item], count: int) -> list[Item]:
        """Return up to ``count`` different items in pseudo-random order."""
        pool = list(items)
        taken = min(count, len(pool))
        for index in range(taken):
            other = index + self.draw_index(len(pool) - index)
            pool[index], pool[other] = pool[other], pool[index]
        return pool[:taken]

    def _draw(self) -> int:
        self._count += 1
        return xxhash.xxh3_64_intdigest(self._prefix + self._count.to_bytes(8, "little"))

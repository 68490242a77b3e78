"""Simple placement policies, with which those of the entry are compared."""

import random
from abc import ABC, abstractmethod

from benchmarks.placement_fleet import Shape, Upstreams
from chicoryproxy.rendezvous import score

FANOUT = 4
LOSS = 0.01
REPORT_LIMIT = 28
REPORT_AGE_S = 2.5
SUBSET_SIZE = 12


class Balancer(ABC):
    """A placement policy of the whole fleet."""

    def __init__(self, shape: Shape, upstreams: Upstreams, rng: random.Random) -> None:
        self.shape = shape
        self.upstreams = upstreams
        self.rng = rng

    @abstractmethod
    def choose(self, entry: int, now: float) -> int:
        """Choose the upstream of a request at an entry."""

    def begin(self, entry: int, upstream: int, now: float) -> None:  # noqa: B027
        """Record that a request was forwarded."""

    def end(self, entry: int, upstream: int, duration_s: float, now: float) -> None:  # noqa: B027
        """Record that a request was answered."""

    def exchange(self, now: float) -> None:  # noqa: B027
        """Send the heartbeats of all entries."""


class PerfectKnowledge(Balancer):
    """Least requests present, known everywhere at once."""

    def choose(self, entry: int, now: float) -> int:
        """Choose the upstream with the least requests."""
        return choose_least(self.upstreams.present, range(self.shape.upstreams), self.rng)


class OwnCounts(Balancer):
    """Least requests of this entry alone."""

    def __init__(self, shape: Shape, upstreams: Upstreams, rng: random.Random) -> None:
        super().__init__(shape, upstreams, rng)
        self.own = [[0] * shape.upstreams for _ in range(shape.entries)]

    def choose(self, entry: int, now: float) -> int:
        """Choose among all upstreams."""
        return choose_least(self.own[entry], self.candidates(entry), self.rng)

    def candidates(self, entry: int) -> "range | list[int]":
        """Return the upstreams that an entry may choose."""
        return range(self.shape.upstreams)

    def begin(self, entry: int, upstream: int, now: float) -> None:
        """Count the request."""
        self.own[entry][upstream] += 1

    def end(self, entry: int, upstream: int, duration_s: float, now: float) -> None:
        """Stop counting the request."""
        self.own[entry][upstream] -= 1


class Subset(OwnCounts):
    """Own counts over a subset of the upstreams, by rendezvous hashing."""

    def __init__(self, shape: Shape, upstreams: Upstreams, rng: random.Random) -> None:
        super().__init__(shape, upstreams, rng)
        names = [str(number) for number in range(shape.upstreams)]
        self._subsets = [
            sorted(range(shape.upstreams), key=lambda item: score(f"entry/{entry}", names[item]))[
                :SUBSET_SIZE
            ]
            for entry in range(shape.entries)
        ]

    def candidates(self, entry: int) -> "range | list[int]":
        """Return the subset of an entry."""
        return self._subsets[entry]


class Reported(OwnCounts):
    """Own counts and those of the reports that were heard recently."""

    def __init__(self, shape: Shape, upstreams: Upstreams, rng: random.Random) -> None:
        super().__init__(shape, upstreams, rng)
        self.heard: list[dict[int, tuple[float, list[tuple[int, int]]]]] = [
            {} for _ in range(shape.entries)
        ]
        self.totals = [[0] * shape.upstreams for _ in range(shape.entries)]

    def choose(self, entry: int, now: float) -> int:
        """Choose the upstream with the least known requests."""
        loads = [self.estimate(entry, item) for item in range(self.shape.upstreams)]
        return choose_least(loads, range(self.shape.upstreams), self.rng)

    def estimate(self, entry: int, upstream: int) -> float:
        """Return the load of an upstream as an entry sees it."""
        return self.own[entry][upstream] + self.totals[entry][upstream]

    def exchange(self, now: float) -> None:
        """Send the heaviest loads of each entry to a few peers."""
        for sender in range(self.shape.entries):
            report = [(item, load) for item, load in enumerate(self.own[sender]) if load]
            report.sort(key=lambda item: -item[1])
            for target in self.rng.sample(
                range(self.shape.entries), min(FANOUT, self.shape.entries)
            ):
                if target != sender and self.rng.random() >= LOSS:
                    self._receive(target, sender, report[:REPORT_LIMIT], now)
            self._expire(sender, now)

    def _receive(self, target: int, sender: int, report: list[tuple[int, int]], now: float) -> None:
        self._forget(target, sender)
        self.heard[target][sender] = (now, report)
        for upstream, load in report:
            self.totals[target][upstream] += load

    def _forget(self, target: int, sender: int) -> None:
        _, report = self.heard[target].pop(sender, (0.0, []))
        for upstream, load in report:
            self.totals[target][upstream] -= load

    def _expire(self, target: int, now: float) -> None:
        for sender, (heard_s, _) in list(self.heard[target].items()):
            if now - heard_s > REPORT_AGE_S:
                self._forget(target, sender)


class Scaled(Reported):
    """Reports scaled from the entries that were heard to all."""

    def estimate(self, entry: int, upstream: int) -> float:
        """Return own load and the extrapolated load of the others."""
        heard = len(self.heard[entry])
        factor = (self.shape.entries - 1) / heard if heard else 0.0
        return self.own[entry][upstream] + factor * self.totals[entry][upstream]


class TwoChoices(Reported):
    """The less loaded of two random upstreams, by own counts and reports."""

    def choose(self, entry: int, now: float) -> int:
        """Draw two upstreams and compare them."""
        pair = self.rng.sample(range(self.shape.upstreams), min(2, self.shape.upstreams))
        return min(pair, key=lambda item: self.estimate(entry, item))


def choose_least(
    loads: list[int] | list[float], candidates: "range | list[int]", rng: random.Random
) -> int:
    """Return a candidate with the least load, at random among equals."""
    least = min(loads[item] for item in candidates)
    return rng.choice([item for item in candidates if loads[item] <= least])

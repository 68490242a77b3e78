"""Placement tables: which upstream takes the new flows of a slot.

A table is a function of the published members of one generation alone, so that every instance
that has the generation computes the same table. ``docs/design/placement.md`` compares the
policies.
"""

import hashlib
import heapq
import struct
from abc import ABC, abstractmethod
from array import array
from collections.abc import Callable, Sequence
from math import log

from chicoryproxy.ids import FlowKey
from chicoryproxy.model import Generation, Upstream

SLOTS_PER_UPSTREAM = 64
MIN_SLOTS = 512
MAX_SLOTS = 32768
SIZE_STEP = 8
SCORE_BYTES = 8
SCORE_SPAN = float(2**64)

ScoreRow = tuple[float, ...]
"""Scores of all members for one slot, in the order of the members; the highest is preferred."""


class PlacementTable:
    """The upstream of every slot of one service.

    A flow's slot is ``flow & (size - 1)``.

    :ivar size: number of slots, a power of two.
    :ivar upstreams: members with at least one share of the slots, in the order of their ids.
    """

    __slots__ = ("size", "upstreams", "_mask", "_slots", "_targets")

    def __init__(self, upstreams: tuple[Upstream, ...], slots: "array[int]") -> None:
        """Keep the result of a policy.

        :param upstreams: members that the slots refer to; may be empty.
        :param slots: for each slot an index of ``upstreams``; zero when there is none.
        """
        self.size = len(slots)
        self.upstreams = upstreams
        self._mask = self.size - 1
        self._slots = slots
        self._targets: tuple[Upstream | None, ...] = upstreams or (None,)

    def find(self, flow: FlowKey) -> Upstream | None:
        """Return the upstream for a new flow, or ``None`` when there is no member."""
        return self._targets[self._slots[flow & self._mask]]

    def at(self, slot: int) -> Upstream | None:
        """Return the upstream of a slot, or ``None`` when there is no member."""
        return self._targets[self._slots[slot]]


class PlacementPolicy(ABC):
    """A way to distribute the slots of a service over the members of a generation."""

    def build(self, generation: Generation) -> PlacementTable:
        """Build the table of a generation.

        :param generation: the order of its members has no influence.
        """
        weighted = (member for member in generation.members if member.weight > 0)
        members = tuple(sorted(weighted, key=lambda member: member.id))
        size = choose_size(len(members))
        if not members:
            return PlacementTable((), array("H", bytes(2 * size)))
        return PlacementTable(members, self._assign(members, size))

    @abstractmethod
    def _assign(self, members: Sequence[Upstream], size: int) -> "array[int]":
        """Return the index of a member for each slot."""


class _Modulo(PlacementPolicy):
    """Slot number modulo the number of members, each repeated by its weight."""

    def _assign(self, members: Sequence[Upstream], size: int) -> "array[int]":
        repeated = [index for index, member in enumerate(members) for _ in range(member.weight)]
        return array("H", (repeated[slot % len(repeated)] for slot in range(size)))


class _WeightedRendezvous(PlacementPolicy):
    """Highest score, after Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit
    Rates" (1998); weights after Schindelhauer and Schomaker, "Weighted Distributed Hash Tables"
    (2005).
    """

    def _assign(self, members: Sequence[Upstream], size: int) -> "array[int]":
        return array("H", (row.index(max(row)) for row in _score_rows(members, size)))


class _BoundedRendezvous(PlacementPolicy):
    """Weighted rendezvous in which no member takes more than its share, rounded up.

    The bound is that of Mirrokni, Thorup and Zadimoghaddam, "Consistent Hashing with Bounded
    Loads" (2018), with no slack. In place of their walk along a ring, the slots that exceed a
    member's share are found by the deferred acceptance of Gale and Shapley (1962): a member keeps
    the slots that score highest for it. The result doesn't depend on the order of the slots, and
    a change of one member displaces few of the others' slots.
    """

    def _assign(self, members: Sequence[Upstream], size: int) -> "array[int]":
        bounds = _share_bounds(members, size)
        rows = list(_score_rows(members, size))
        return _accept_slots(rows, bounds)


def create_modulo() -> PlacementPolicy:
    """Create the baseline policy: modulo the number of members."""
    return _Modulo()


def create_weighted_rendezvous() -> PlacementPolicy:
    """Create weighted rendezvous without a bound on a member's slots."""
    return _WeightedRendezvous()


def create_bounded_rendezvous() -> PlacementPolicy:
    """Create weighted rendezvous with at most the rounded-up share of slots for each member."""
    return _BoundedRendezvous()


def create_table(generation: Generation) -> PlacementTable:
    """Build the table of a generation with the default policy."""
    return create_bounded_rendezvous().build(generation)


def choose_size(members: int) -> int:
    """Return the number of slots for a number of members.

    The steps are coarse, so that a change of one member rarely changes the size.
    """
    size = MIN_SLOTS
    while size < members * SLOTS_PER_UPSTREAM and size < MAX_SLOTS:
        size *= SIZE_STEP
    return size


def _share_bounds(members: Sequence[Upstream], size: int) -> list[int]:
    total = sum(member.weight for member in members)
    return [-(-size * member.weight // total) for member in members]


def _score_rows(members: Sequence[Upstream], size: int) -> "zip[ScoreRow]":
    weights = {member.weight for member in members}
    scale = _scale_for(len(weights) == 1)
    return zip(
        *(scale(_raw_scores(member, size), member.weight) for member in members), strict=True
    )


def _raw_scores(member: Upstream, size: int) -> Sequence[int]:
    """Expand a member's id to one 64-bit score per slot, in a single call into C."""
    stream = hashlib.shake_128(member.id.encode()).digest(size * SCORE_BYTES)
    return struct.unpack(f"<{size}Q", stream)


def _scale_for(equal_weights: bool) -> Callable[[Sequence[int], int], Sequence[float]]:
    return _keep_scores if equal_weights else _weigh_scores


def _keep_scores(scores: Sequence[int], _weight: int) -> Sequence[float]:
    return scores


def _weigh_scores(scores: Sequence[int], weight: int) -> Sequence[float]:
    """Return ``log(u) / weight``: the highest wins with a probability in proportion to weight."""
    return [log((value + 1) / SCORE_SPAN) / weight for value in scores]


def _accept_slots(rows: Sequence[ScoreRow], bounds: Sequence[int]) -> "array[int]":
    slots = array("H", bytes(2 * len(rows)))
    accepted: list[list[tuple[float, int]]] = [[] for _ in bounds]
    rankings: dict[int, list[int]] = {}
    for slot, row in enumerate(rows):
        proposer: int | None = slot
        choice = row.index(max(row))
        while proposer is not None:
            rejected = _offer(accepted[choice], bounds[choice], rows[proposer][choice], proposer)
            slots[proposer] = choice
            proposer = rejected
            if proposer is not None:
                choice = _next_choice(rankings, proposer, rows[proposer])
    return slots


def _offer(heap: list[tuple[float, int]], bound: int, score: float, slot: int) -> int | None:
    """Give a member a slot; return the slot that it gives up for it, if any."""
    if len(heap) < bound:
        heapq.heappush(heap, (score, slot))
        return None
    return heapq.heappushpop(heap, (score, slot))[1]


def _next_choice(rankings: dict[int, list[int]], slot: int, row: ScoreRow) -> int:
    """Return the best member that has not rejected the slot yet."""
    ranking = rankings.get(slot)
    if ranking is None:
        ranking = sorted(range(len(row)), key=lambda index: (row[index], -index))
        ranking.pop()
        rankings[slot] = ranking
    return ranking.pop()

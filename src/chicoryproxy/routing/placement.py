"""Placement tables, which map the slots of a service to upstreams for new flows.

A table depends only on the published members of one generation, so every instance that has the
generation computes the same table. ``docs/design/placement.md`` compares the policies.
"""

import hashlib
import heapq
import re
import struct
from abc import ABC, abstractmethod
from array import array
from collections.abc import Iterable, Iterator, Sequence
from itertools import repeat
from math import exp, log

import xxhash

from chicoryproxy.ids import FlowKey
from chicoryproxy.model import Generation, Upstream

SLOTS_PER_UPSTREAM = 32
MIN_SLOTS = 512
MAX_SLOTS = 32768
SIZE_STEP = 4

MAX_MEMBERS = 65_536
SMALL_MEMBERS = 256
INDEX_BITS = 16
INDEX_MASK = (1 << INDEX_BITS) - 1
HASH_BYTES = 8
HIGH_HASHES_PER_SLOT = 12
HASH_SPAN = float(2**48)
LOG_OFFSET = 64.0
LOG_SCALE = float(2**41)
FIRST_CHOICE_FLAG = 1 << 64

_HASH = struct.Struct("<Q")


class PlacementTable:
    """Maps each slot of one service to an upstream.

    The slot of a flow is ``flow & (size - 1)``.

    :ivar size: number of slots, a power of two.
    :ivar upstreams: members with a weight above zero, in the order of their ids.
    """

    __slots__ = ("size", "upstreams", "_mask", "_slots", "_targets")

    def __init__(self, upstreams: tuple[Upstream, ...], slots: "array[int]") -> None:
        """Create a table from the result of a policy.

        :param upstreams: members that the slots refer to; may be empty.
        :param slots: index into ``upstreams`` for each slot; zero if ``upstreams`` is empty.
        """
        self.size = len(slots)
        self.upstreams = upstreams
        self._mask = self.size - 1
        self._slots = slots
        self._targets: tuple[Upstream | None, ...] = upstreams or (None,)

    def find(self, flow: FlowKey) -> Upstream | None:
        """Return the upstream for a new flow, or ``None`` if the table has no members."""
        return self._targets[self._slots[flow & self._mask]]

    def upstream_at(self, slot: int) -> Upstream | None:
        """Return the upstream of a slot, or ``None`` if the table has no members."""
        return self._targets[self._slots[slot]]


class PlacementPolicy(ABC):
    """Strategy that distributes the slots of a service over the members of a generation."""

    def build(self, generation: Generation) -> PlacementTable:
        """Build the table of a generation.

        :param generation: generation whose members get the slots; their order doesn't matter.
        """
        weighted = (member for member in generation.members if member.weight > 0)
        members = tuple(sorted(weighted, key=lambda member: member.id)[:MAX_MEMBERS])
        size = choose_size(len(members))
        typecode = "B" if len(members) <= SMALL_MEMBERS else "H"
        indexes = self._assign(members, size) if len(members) > 1 else repeat(0, size)
        return PlacementTable(members, array(typecode, indexes))

    @abstractmethod
    def _assign(self, members: Sequence[Upstream], size: int) -> Sequence[int]:
        """Return the index of a member for each slot.

        :param members: at least two members, ordered by id.
        """


class _Modulo(PlacementPolicy):
    """Slot index modulo the number of members, each repeated as often as its weight."""

    def _assign(self, members: Sequence[Upstream], size: int) -> Sequence[int]:
        repeated = [index for index, member in enumerate(members) for _ in range(member.weight)]
        return [repeated[slot % len(repeated)] for slot in range(size)]


class _WeightedRendezvous(PlacementPolicy):
    """Highest score, after Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit
    Rates" (1998); weights after Schindelhauer and Schomaker, "Weighted Distributed Hash Tables"
    (2005).
    """

    def _assign(self, members: Sequence[Upstream], size: int) -> Sequence[int]:
        return [score & INDEX_MASK for score in _choose_first(members, size)]


class _BoundedRendezvous(PlacementPolicy):
    """Weighted rendezvous hashing with an upper bound on the slots of each member.

    The bound is that of Mirrokni, Thorup and Zadimoghaddam, "Consistent Hashing with Bounded
    Loads" (2018). Instead of walking along a ring, slots that exceed the bound of a member are
    moved by the deferred acceptance algorithm of Gale and Shapley (1962): a slot proposes to
    members in descending order of their scores, and a member keeps the slots with the highest
    scores, preferring slots of which it is the first choice. The result doesn't depend on the
    order of the proposals, and a change of one member moves few slots of the others.

    :param slack: fraction of its share by which a member may exceed the share.
    """

    def __init__(self, slack: float) -> None:
        self._slack = slack

    def _assign(self, members: Sequence[Upstream], size: int) -> Sequence[int]:
        bounds = _compute_bounds(members, size, self._slack)
        first_choices = _choose_first(members, size)
        return _assign_bounded(members, first_choices, bounds)


def create_modulo() -> PlacementPolicy:
    """Create the baseline policy, slot index modulo the number of members."""
    return _Modulo()


def create_weighted_rendezvous() -> PlacementPolicy:
    """Create weighted rendezvous hashing without a bound on the slots of a member."""
    return _WeightedRendezvous()


def create_bounded_rendezvous(slack: float = 0.0) -> PlacementPolicy:
    """Create weighted rendezvous hashing that bounds each member to its share, rounded up.

    :param slack: fraction of the share that is added to the bound before rounding.
    """
    return _BoundedRendezvous(slack)


def create_table(generation: Generation) -> PlacementTable:
    """Build the table of a generation with the default policy."""
    return create_bounded_rendezvous().build(generation)


def choose_size(members: int) -> int:
    """Return the number of slots for a number of members.

    Sizes grow in coarse steps, so that the change of one member rarely changes the size.
    """
    size = MIN_SLOTS
    while size < members * SLOTS_PER_UPSTREAM and size < MAX_SLOTS:
        size *= SIZE_STEP
    return size


def _compute_bounds(members: Sequence[Upstream], size: int, slack: float) -> list[int]:
    total = sum(member.weight for member in members)
    allowed = size + int(size * slack)
    return [-(-allowed * member.weight // total) for member in members]


def _choose_first(members: Sequence[Upstream], size: int) -> list[int]:
    """Return the highest score of each slot, with the index of the member in its low bits."""
    if len(members) <= HIGH_HASHES_PER_SLOT:
        return _choose_from_all(members, size)
    return _choose_from_high(members, size)


def _choose_from_all(members: Sequence[Upstream], size: int) -> list[int]:
    layout = struct.Struct(f"<{size}Q")
    columns: list[Sequence[int]] = [layout.unpack(_hash_member(member, size)) for member in members]
    if _is_weighted(members):
        columns = [
            [_weight_score(value, member.weight) for value in values]
            for member, values in zip(members, columns, strict=True)
        ]
    best = []
    for row in zip(*columns, strict=True):
        highest = max(row)
        best.append(highest & ~INDEX_MASK | row.index(highest))
    return best


def _choose_from_high(members: Sequence[Upstream], size: int) -> list[int]:
    """Return the highest scores, skipping low hash values, which are rarely the highest.

    A slot without a high hash value gets the first member of ``_rank_all``.
    """
    total = sum(member.weight for member in members)
    is_weighted = _is_weighted(members)
    best = [0] * size
    for index, member in enumerate(members):
        values = _hash_member(member, size)
        for slot in _find_high_hashes(values, exp(-HIGH_HASHES_PER_SLOT * member.weight / total)):
            value = _HASH.unpack_from(values, slot * HASH_BYTES)[0]
            score = value & ~INDEX_MASK | index
            if is_weighted:
                score = _weight_score(score, member.weight)
            if score > best[slot]:
                best[slot] = score
    for slot in (slot for slot, score in enumerate(best) if not score):
        best[slot] = next(_rank_all(members, slot))
    return best


def _hash_member(member: Upstream, size: int) -> bytes:
    """Return one hash value of ``HASH_BYTES`` per slot for a member, in a single call into C."""
    return hashlib.shake_128(member.id.encode()).digest(size * HASH_BYTES)


def _is_weighted(members: Sequence[Upstream]) -> bool:
    return len({member.weight for member in members}) > 1


def _find_high_hashes(values: bytes, floor: float) -> Iterable[int]:
    """Return the slots whose hash value, scaled to a range of one, may be above a floor."""
    lowest = int(256 * floor)
    if not lowest:
        return range(len(values) // HASH_BYTES)
    pattern = re.compile(b"[%s-\xff]" % re.escape(bytes((lowest,))), re.DOTALL)
    return (match.start() for match in pattern.finditer(values[HASH_BYTES - 1 :: HASH_BYTES]))


def _weight_score(score: int, weight: int) -> int:
    """Scale a uniform score so that the probability of being the highest is proportional to weight.

    Scores are ordered as ``log(u) / weight`` for uniform ``u``. The index of the member in the low
    bits is unchanged.
    """
    value = ((score >> INDEX_BITS) + 1) / HASH_SPAN
    scaled = int((log(value) / weight + LOG_OFFSET) * LOG_SCALE)
    return scaled << INDEX_BITS | score & INDEX_MASK


def _assign_bounded(
    members: Sequence[Upstream], first_choices: Sequence[int], bounds: Sequence[int]
) -> Sequence[int]:
    slots = [0] * len(first_choices)
    accepted: list[list[tuple[int, int]]] = [[] for _ in members]
    fallbacks: dict[int, Iterator[int]] = {}
    for proposer, first in enumerate(first_choices):
        slot: int | None = proposer
        score = first | FIRST_CHOICE_FLAG
        while slot is not None:
            choice = score & INDEX_MASK
            slots[slot] = choice
            slot = _propose(accepted[choice], bounds[choice], score, slot)
            if slot is not None:
                if slot not in fallbacks:
                    fallbacks[slot] = _rank_fallbacks(
                        members, slot, first_choices[slot] & INDEX_MASK
                    )
                score = next(fallbacks[slot])
    return slots


def _propose(accepted: list[tuple[int, int]], bound: int, score: int, slot: int) -> int | None:
    """Offer a slot to a member and return the slot that the member rejects, if any."""
    if len(accepted) < bound:
        heapq.heappush(accepted, (score, slot))
        return None
    return heapq.heappushpop(accepted, (score, slot))[1]


def _rank_fallbacks(members: Sequence[Upstream], slot: int, first: int) -> Iterator[int]:
    """Iterate over the scores of all members except the first choice, highest first."""
    ranking = _rank_all(members, slot)
    return (score for score in ranking if score & INDEX_MASK != first)


def _rank_all(members: Sequence[Upstream], slot: int) -> Iterator[int]:
    """Iterate over the scores of all members from a second hash function, highest first."""
    is_weighted = _is_weighted(members)
    scores = []
    for index, member in enumerate(members):
        value = xxhash.xxh3_64_intdigest(member.id.encode(), slot) & ~INDEX_MASK | index
        scores.append(_weight_score(value, member.weight) if is_weighted else value)
    return iter(sorted(scores, reverse=True))

"""Placement tables: which upstream takes the new flows of a slot.

A table is a function of the published members of one generation alone, so that every instance
that has the generation computes the same table. ``docs/design/placement.md`` compares the
policies.
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

    def upstream_at(self, slot: int) -> Upstream | None:
        """Return the upstream of a slot, or ``None`` when there is no member."""
        return self._targets[self._slots[slot]]


class PlacementPolicy(ABC):
    """A way to distribute the slots of a service over the members of a generation."""

    def build(self, generation: Generation) -> PlacementTable:
        """Build the table of a generation.

        :param generation: the order of its members has no influence.
        """
        weighted = (member for member in generation.members if member.weight > 0)
        members = tuple(sorted(weighted, key=lambda member: member.id)[:MAX_MEMBERS])
        size = choose_size(len(members))
        typecode = "B" if len(members) <= SMALL_MEMBERS else "H"
        indexes = self._assign(members, size) if len(members) > 1 else repeat(0, size)
        return PlacementTable(members, array(typecode, indexes))

    @abstractmethod
    def _assign(self, members: Sequence[Upstream], size: int) -> Sequence[int]:
        """Return the index of a member for each slot; there are at least two members."""


class _Modulo(PlacementPolicy):
    """Slot number modulo the number of members, each repeated by its weight."""

    def _assign(self, members: Sequence[Upstream], size: int) -> Sequence[int]:
        repeated = [index for index, member in enumerate(members) for _ in range(member.weight)]
        return [repeated[slot % len(repeated)] for slot in range(size)]


class _WeightedRendezvous(PlacementPolicy):
    """Highest priority, after Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit
    Rates" (1998); weights after Schindelhauer and Schomaker, "Weighted Distributed Hash Tables"
    (2005).
    """

    def _assign(self, members: Sequence[Upstream], size: int) -> Sequence[int]:
        return [score & INDEX_MASK for score in _choose_first(members, size)]


class _BoundedRendezvous(PlacementPolicy):
    """Weighted rendezvous in which no member takes more than a bound.

    The bound is that of Mirrokni, Thorup and Zadimoghaddam, "Consistent Hashing with Bounded
    Loads" (2018). In place of their walk along a ring, the slots that exceed a member's bound are
    moved by the deferred acceptance of Gale and Shapley (1962): a slot proposes to members in the
    order of its priorities, and a member keeps the slots that it ranks highest, those of which it
    is the first choice above all others. The result doesn't depend on the order of the proposals,
    and a change of one member displaces few of the others' slots.

    :param slack: part of a member's share by which it may exceed the share.
    """

    def __init__(self, slack: float) -> None:
        self._slack = slack

    def _assign(self, members: Sequence[Upstream], size: int) -> Sequence[int]:
        bounds = _compute_bounds(members, size, self._slack)
        first_choices = _choose_first(members, size)
        return _assign_bounded(members, first_choices, bounds)


def create_modulo() -> PlacementPolicy:
    """Create the baseline policy: modulo the number of members."""
    return _Modulo()


def create_weighted_rendezvous() -> PlacementPolicy:
    """Create weighted rendezvous without a bound on a member's slots."""
    return _WeightedRendezvous()


def create_bounded_rendezvous(slack: float = 0.0) -> PlacementPolicy:
    """Create weighted rendezvous with a bound on a member's slots: its share, rounded up.

    :param slack: part of the share that is added to the bound before rounding.
    """
    return _BoundedRendezvous(slack)


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


def _compute_bounds(members: Sequence[Upstream], size: int, slack: float) -> list[int]:
    total = sum(member.weight for member in members)
    allowed = size + int(size * slack)
    return [-(-allowed * member.weight // total) for member in members]


def _choose_first(members: Sequence[Upstream], size: int) -> list[int]:
    """Return for each slot the highest priority, with the member's index in its lowest bits."""
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
    """Leave out low draws, which hardly ever win.

    A slot without a high draw takes the order of ``_rank_all``.
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
    """Expand a member's id to one draw of ``HASH_BYTES`` per slot, in a single call into C."""
    return hashlib.shake_128(member.id.encode()).digest(size * HASH_BYTES)


def _is_weighted(members: Sequence[Upstream]) -> bool:
    return len({member.weight for member in members}) > 1


def _find_high_hashes(values: bytes, floor: float) -> Iterable[int]:
    """Return the slots whose draw, as a fraction of its span, may be above a floor."""
    lowest = int(256 * floor)
    if not lowest:
        return range(len(values) // HASH_BYTES)
    pattern = re.compile(b"[%s-\xff]" % re.escape(bytes((lowest,))), re.DOTALL)
    return (match.start() for match in pattern.finditer(values[HASH_BYTES - 1 :: HASH_BYTES]))


def _weight_score(score: int, weight: int) -> int:
    """Change a uniform priority so that its chance to be the highest is in proportion to weight.

    The order is that of ``log(u) / weight`` for the uniform ``u``; the index stays as it is.
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
    """Give a member a slot; return the slot that it rejects for it, if any."""
    if len(accepted) < bound:
        heapq.heappush(accepted, (score, slot))
        return None
    return heapq.heappushpop(accepted, (score, slot))[1]


def _rank_fallbacks(members: Sequence[Upstream], slot: int, first: int) -> Iterator[int]:
    """Return the priorities of all members but the first choice, highest first."""
    ranking = _rank_all(members, slot)
    return (score for score in ranking if score & INDEX_MASK != first)


def _rank_all(members: Sequence[Upstream], slot: int) -> Iterator[int]:
    """Return the priorities of all members by a second draw, highest first."""
    is_weighted = _is_weighted(members)
    scores = []
    for index, member in enumerate(members):
        value = xxhash.xxh3_64_intdigest(member.id.encode(), slot) & ~INDEX_MASK | index
        scores.append(_weight_score(value, member.weight) if is_weighted else value)
    return iter(sorted(scores, reverse=True))

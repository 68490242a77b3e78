"""Flow table of one entry, with bounded memory.

``docs/design/flow-table.md`` compares memory layouts and lists their measurements.
"""

from collections import deque
from collections.abc import Iterator
from enum import IntFlag, unique

from msgspec import Struct

from chicoryproxy.ids import FlowKey
from chicoryproxy.states import DropReason

SHARD_COUNT = 1024
MAX_SHARDS_PER_EXPIRY = 32
TICK_S = 4.0
DEFAULT_IDLE_TIMEOUT_S = 300.0
HALF_OPEN_TIMEOUT_S = 12.0
CLOSING_TIMEOUT_S = 8.0
RECENT_TICKS = 1
"""Records of the current and the previous tick are recent: these were updated less than
``CLOSING_TIMEOUT_S`` ago, so the home still remembers the end of a flow that a newer one follows
on the same port."""

MAX_INTERNED_STATES = 65_536

FLAG_BITS = 8
TICK_BITS = 16
FLAG_MASK = (1 << FLAG_BITS) - 1
TICK_MASK = (1 << TICK_BITS) - 1
NUMBER_SHIFT = FLAG_BITS + TICK_BITS
_SHARD_MASK = SHARD_COUNT - 1


@unique
class FlowFlag(IntFlag):
    """State bits of a flow record.

    ``OPENED_HERE`` is set if this entry placed the flow as its home. ``IMPORTED`` is set if the
    lifetime was last renewed by a peer's record rather than by a packet. An imported record isn't
    used to renew records of peers; otherwise two entries could keep the record of a dead flow
    alive by renewing it alternately.
    """

    HALF_OPEN = 1
    CLOSING = 2
    OPENED_HERE = 4
    IMPORTED = 16


_HALF_OPEN = int(FlowFlag.HALF_OPEN)
_CLOSING = int(FlowFlag.CLOSING)
_IMPORTED = int(FlowFlag.IMPORTED)
_KEPT_ON_PACKET_MASK = ~(TICK_MASK << FLAG_BITS | _IMPORTED)
_KEPT_ON_SET_FLAGS_MASK = ~(TICK_MASK << FLAG_BITS | _HALF_OPEN | _IMPORTED)


class FlowState(Struct, frozen=True):
    """An unpacked flow record.

    :param number: upstream number, assigned by the user of the table.
    :param flags: state bits; a flow that is neither half-open nor closing is established.
    :param tick: time of the last packet in units of ``TICK_S``, modulo 65,536.
    """

    number: int
    flags: FlowFlag
    tick: int


def unpack_state(state: int) -> FlowState:
    """Unpack the state of a flow."""
    return FlowState(
        number=state >> NUMBER_SHIFT,
        flags=FlowFlag(state & FLAG_MASK),
        tick=state >> FLAG_BITS & TICK_MASK,
    )


def upstream_number(state: int) -> int:
    """Return the upstream number in a packed state."""
    return state >> NUMBER_SHIFT


class FlowTable:
    """Maps flow keys to packed states: ``number << 24 | tick << 8 | flags``.

    Records are distributed over ``SHARD_COUNT`` dictionaries by the low bits of the flow key. A
    shard is small enough to be scanned, or to be resized by the interpreter, within the time of a
    few packets. Slots are also derived from the low bits, so the flows of one slot lie in few
    shards and need no index. Equal states are interned as one integer object, so a record uses
    memory only for its key and its dictionary entry.

    Long-idle flows of clean slots need no record, since the placement table gives their upstream.
    The router records flows of contested slots.

    :param capacity: maximum number of records.
    :param idle_timeout_s: idle timeout of established flows in seconds, for upstreams without
        a timeout of their own.
    """

    def __init__(self, capacity: int, idle_timeout_s: float = DEFAULT_IDLE_TIMEOUT_S) -> None:
        self.capacity = capacity
        self._shards: list[dict[int, int]] = [{} for _ in range(SHARD_COUNT)]
        self._count = 0
        self._next_shard = 0
        self._half_open: deque[FlowKey] = deque(maxlen=capacity)
        self._interned_states: dict[int, int] = {}
        self._idle_ticks = _to_ticks(idle_timeout_s)
        self._idle_ticks_by_number: dict[int, int] = {}

    def __len__(self) -> int:
        return self._count

    def set_idle_timeout(self, number: int, timeout_s: float) -> None:
        """Set the idle timeout for flows of one upstream, in seconds."""
        self._idle_ticks_by_number[number] = _to_ticks(timeout_s)

    def find(self, flow: FlowKey) -> int | None:
        """Return the packed state of a flow, or ``None`` if it has no record."""
        return self._shards[flow & _SHARD_MASK].get(flow)

    def record(self, flow: FlowKey, number: int, flags: FlowFlag, now: float) -> DropReason | None:
        """Add the record of a flow, or replace an existing one.

        If the table is full, the oldest half-open record is evicted.

        :param number: upstream number, not negative.
        :returns: ``FLOW_TABLE_FULL`` if the table is full and has no half-open record to evict,
            else ``None``.
        """
        bits = int(flags)
        shard = self._shards[flow & _SHARD_MASK]
        if flow not in shard:
            if self._count >= self.capacity and not self._evict_half_open():
                return DropReason.FLOW_TABLE_FULL
            self._count += 1
        if bits & _HALF_OPEN:
            self._half_open.append(flow)
        shard[flow] = self._intern(number << NUMBER_SHIFT | _tick(now) << FLAG_BITS | bits)
        return None

    def is_recent(self, flow: FlowKey, now: float) -> bool:
        """Return whether a flow has a record that a packet updated within ``RECENT_TICKS``."""
        state = self.find(flow)
        return state is not None and _get_age(state, _tick(now)) <= RECENT_TICKS

    def touch(self, flow: FlowKey, now: float) -> None:
        """Update the time of the last packet of a flow; no effect without a record."""
        shard = self._shards[flow & _SHARD_MASK]
        state = shard.get(flow)
        if state is None:
            return
        tick = _tick(now)
        if state >> FLAG_BITS & TICK_MASK != tick or state & _IMPORTED:
            shard[flow] = self._intern(state & _KEPT_ON_PACKET_MASK | tick << FLAG_BITS)

    def renew(self, flow: FlowKey, now: float) -> None:
        """Renew the lifetime of a record because a peer has a live record of the flow."""
        shard = self._shards[flow & _SHARD_MASK]
        state = shard.get(flow)
        if state is not None and state >> FLAG_BITS & TICK_MASK != _tick(now):
            kept = state & _KEPT_ON_PACKET_MASK | _IMPORTED
            shard[flow] = self._intern(kept | _tick(now) << FLAG_BITS)

    def set_flags(self, flow: FlowKey, flags: FlowFlag, now: float) -> None:
        """Add flags to a record and clear its half-open state.

        To be called for a packet that isn't an opening.

        :param flags: flags to add; ``FlowFlag(0)`` marks the flow as established.
        """
        shard = self._shards[flow & _SHARD_MASK]
        state = shard.get(flow)
        if state is None:
            return
        kept = state & _KEPT_ON_SET_FLAGS_MASK
        shard[flow] = self._intern(kept | int(flags) | _tick(now) << FLAG_BITS)

    def remove(self, flow: FlowKey) -> None:
        """Remove the record of a flow immediately, for example after a TCP reset."""
        if self._shards[flow & _SHARD_MASK].pop(flow, None) is not None:
            self._count -= 1

    def expire(self, now: float, limit: int) -> int:
        """Remove expired records, continuing with the shard after the last one scanned.

        A call stops after the shard in which the total reaches ``limit`` records, or after
        ``MAX_SHARDS_PER_EXPIRY`` shards.

        :param limit: number of records to scan; the last shard is scanned whole.
        :returns: number of records removed.
        """
        tick = _tick(now)
        before = self._count
        scanned = 0
        for _ in range(MAX_SHARDS_PER_EXPIRY):
            shard = self._shards[self._next_shard]
            self._next_shard = (self._next_shard + 1) & _SHARD_MASK
            if not shard:
                continue
            scanned += len(shard)
            self._expire_shard(shard, tick)
            if scanned >= limit:
                break
        return before - self._count

    def flows_of(self, slot: int, size: int) -> Iterator[tuple[FlowKey, int]]:
        """Iterate over the flows of a slot, of all services, with their packed states.

        :param slot: index of the slot.
        :param size: number of slots in the placement table, a power of two.
        """
        mask = size - 1
        for number in range(slot & _SHARD_MASK, SHARD_COUNT, min(size, SHARD_COUNT)):
            for flow, state in list(self._shards[number].items()):
                if flow & mask == slot:
                    yield FlowKey(flow), state

    def _expire_shard(self, shard: dict[int, int], tick: int) -> None:
        expired = [flow for flow, state in shard.items() if self._is_expired(state, tick)]
        for flow in expired:
            del shard[flow]
        self._count -= len(expired)

    def _is_expired(self, state: int, tick: int) -> bool:
        age = _get_age(state, tick)
        if state & _CLOSING:
            return age > _CLOSING_TICKS
        if state & _HALF_OPEN:
            return age > _HALF_OPEN_TICKS
        return age > self._idle_ticks_by_number.get(state >> NUMBER_SHIFT, self._idle_ticks)

    def _evict_half_open(self) -> bool:
        queue = self._half_open
        while queue:
            flow = queue.popleft()
            state = self.find(flow)
            if state is not None and state & _HALF_OPEN:
                self.remove(flow)
                return True
        return False

    def _intern(self, state: int) -> int:
        interned = self._interned_states
        if len(interned) > MAX_INTERNED_STATES:
            interned.clear()
        return interned.setdefault(state, state)


def _get_age(state: int, tick: int) -> int:
    """Return the time since the last update of a packed state, in units of ``TICK_S``."""
    return (tick - (state >> FLAG_BITS)) & TICK_MASK


def _tick(now: float) -> int:
    return int(now / TICK_S) & TICK_MASK


def _to_ticks(seconds: float) -> int:
    return -int(-seconds // TICK_S)


_HALF_OPEN_TICKS = _to_ticks(HALF_OPEN_TIMEOUT_S)
_CLOSING_TICKS = _to_ticks(CLOSING_TIMEOUT_S)

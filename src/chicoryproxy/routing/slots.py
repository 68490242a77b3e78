"""Candidates of the slots of one service, and whether a slot is clean."""

from array import array
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import TypeVar

from msgspec import Struct

from chicoryproxy.ids import NO_VERSION, Epoch, FlowKey, ServiceId, SlotIndex, UpstreamId, Version
from chicoryproxy.model import MAX_GENERATIONS, Generation, UpstreamCondition
from chicoryproxy.protocol.actions import Forward
from chicoryproxy.protocol.messages import SlotFloor, SlotName, SlotRelease
from chicoryproxy.routing.placement import PlacementTable, create_table

NO_EPOCH = Epoch(0)
NO_UPSTREAM = UpstreamId("")
NO_INDEX = 0xFFFF

ForwardActions = tuple[Forward, ...]
"""Actions that the fast path returns for an upstream."""

Value = TypeVar("Value")


class SlotTable(Struct, frozen=True):
    """A generation and its placement table."""

    generation: Generation
    table: PlacementTable


class ServiceSlots:
    """Candidates of the slots of one service according to the retained generations.

    The candidates of a slot are the upstreams that the generations since its last release give it.
    A slot is clean if it has a single candidate, whose openings are not limited, and has not been
    put on hold since its home last released it; any other slot is contested. Every entry may route
    packets of a clean slot by itself, on a fast path that uses ``find_forward``. A slot takes three
    bytes of memory; only slots with several candidates take more.

    :param service: id of the service.
    :param has_datagrams: whether the service has flows without an opening packet.
    :ivar size: number of slots, the largest of all retained tables.
    """

    def __init__(self, service: ServiceId, has_datagrams: bool) -> None:
        self.service = service
        self.has_datagrams = has_datagrams
        self.size = 1
        self.mask = 0
        self._held = bytearray(1)
        self._indexes = array("H", (NO_INDEX,))
        self._forwards: list[ForwardActions | None] = []
        self._tables: tuple[SlotTable, ...] = ()
        self._placed: SlotTable | None = None
        self._released: dict[int, Version] = {}
        self._changed: dict[int, float] = {}
        self._release_requests: dict[int, float] = {}
        self._epochs: dict[UpstreamId, Epoch] = {}
        self._pruned: Version = NO_VERSION
        self._reported_clean: Version = NO_VERSION

    @property
    def version(self) -> Version:
        """Version of the newest generation."""
        return self._tables[-1].generation.version if self._tables else NO_VERSION

    @property
    def changed_count(self) -> int:
        """Number of slots with several candidates."""
        return len(self._changed)

    @property
    def has_unneeded_generations(self) -> bool:
        """Whether older generations are retained although no slot needs them."""
        return len(self._tables) > 1 and not self._changed

    def report_clean(self) -> Version:
        """Return the version as of which the view may discard older generations."""
        self._reported_clean = self.version
        return self.version

    def list_needed(self, generations: Iterable[Generation]) -> list[Generation]:
        """Return the generations that count while slots have several candidates."""
        if not self._changed:
            return []
        return [item for item in generations if item.version >= self._reported_clean]

    @property
    def held_count(self) -> int:
        """Number of slots that wait for a release by their home."""
        return sum(self._held)

    def find_forward(self, flow: FlowKey) -> ForwardActions | None:
        """Return the fast-path actions for a flow, or ``None`` if its slot is contested."""
        slot = flow & self.mask
        if self._held[slot]:
            return None
        return self._forwards[self._indexes[slot]]

    def set_generations(
        self, generations: Sequence[Generation], placed: Version, now: float
    ) -> list[SlotName]:
        """Replace the retained generations; ``set_forwards`` must be called afterwards.

        :param placed: highest version by which new flows may be placed.
        :returns: slots that were clean before and are contested now.
        """
        known = {item.generation: item for item in self._tables}
        skipped = bool(known) and sum(item not in known for item in generations) > 1
        oldest = self._tables[0].generation.version if self._tables else None
        self._tables = tuple(
            known.get(generation) or SlotTable(generation, create_table(generation))
            for generation in sorted(generations, key=lambda item: item.version)
        )
        if oldest is not None and self._tables and self._tables[0].generation.version > oldest:
            self._pruned = self._tables[0].generation.version
        self._placed = self._choose_placed(placed)
        self._resize(max((item.table.size for item in self._tables), default=1))
        self._index_newest()
        if skipped and len(self._tables) >= MAX_GENERATIONS:
            # A slot may have been contested by a generation that is no longer retained.
            self.hold_all()
        return self._find_changed(now)

    def set_placed_version(self, placed: Version) -> None:
        """Set the highest version by which new flows may be placed."""
        self._placed = self._choose_placed(placed)

    def set_forwards(
        self,
        prepare: Callable[[UpstreamId], ForwardActions | None],
    ) -> None:
        """Prepare the actions of the fast path.

        :param prepare: returns the actions for an upstream that takes openings without a limit,
            ``None`` for any other upstream.
        """
        members = self._tables[-1].table.upstreams if self._tables else ()
        self._forwards = [prepare(member.id) for member in members] or [None]

    def hold_all(self) -> None:
        """Put every slot on hold until its home releases it."""
        self._held = bytearray(b"\x01") * self.size

    def apply_conditions(
        self, conditions: Mapping[UpstreamId, UpstreamCondition]
    ) -> list[SlotName]:
        """Put the slots of upstreams whose condition changed on hold.

        :returns: slots that were clean before.
        """
        changed = set()
        for upstream in self._all_members():
            epoch = _epoch_of(conditions, upstream)
            if epoch > self._epochs.get(upstream, NO_EPOCH):
                self._epochs[upstream] = epoch
                changed.add(upstream)
        return self.hold_upstreams(changed)

    def hold_upstreams(self, upstreams: Iterable[UpstreamId]) -> list[SlotName]:
        """Put the slots that the newest generation gives to one of the upstreams on hold.

        :returns: slots that were clean before.
        """
        chosen = set(upstreams)
        if not chosen:
            return []
        return [
            self.name(slot)
            for slot in range(self.size)
            if self.newest(slot) in chosen and self._hold(slot)
        ]

    def _hold(self, slot: int) -> bool:
        """Put a slot on hold and return whether it was not on hold before."""
        was_clean = not self._held[slot]
        self._held[slot] = 1
        return was_clean

    def slot_of(self, flow: FlowKey) -> SlotIndex:
        """Return the slot of a flow."""
        return SlotIndex(flow & self.mask)

    def name(self, slot: int) -> SlotName:
        """Return the name that identifies a slot in messages between instances."""
        return SlotName(self.service, SlotIndex(slot), self.size)

    def held(self) -> list[int]:
        """Return the slots that wait for a release by their home."""
        return [slot for slot, value in enumerate(self._held) if value]

    def is_held(self, slot: int) -> bool:
        """Return whether a slot waits for a release by its home."""
        return bool(self._held[slot])

    def is_clean(self, slot: int) -> bool:
        """Return whether every entry may route packets of a slot by itself."""
        return not self._held[slot] and self._forwards[self._indexes[slot]] is not None

    def candidates(self, slot: int) -> list[UpstreamId]:
        """Return the distinct candidates of a slot, oldest first."""
        return list(dict.fromkeys(self._placements(slot)))

    def base(self, slot: int) -> UpstreamId | None:
        """Return the upstream of flows that began before the slot was contested."""
        return next(iter(self._placements(slot)), None)

    def base_name(self, slot: int) -> UpstreamId:
        """Return the base of a slot, or an empty name if every flow needs a record."""
        base = None if self.has_datagrams else self.base(slot)
        return base or NO_UPSTREAM

    def newest(self, slot: int) -> UpstreamId | None:
        """Return the upstream that the newest generation gives a slot."""
        return _find_upstream_id(self._tables[-1].table, slot) if self._tables else None

    def placed(self, slot: int) -> UpstreamId | None:
        """Return the upstream that new flows of a slot are placed on."""
        chosen = self._placed
        if chosen is None:
            return self.newest(slot)
        oldest = self._relevant_tables(slot)[0]
        if oldest.generation.version > chosen.generation.version:
            # Flows on the oldest candidate have no record, so no older candidate may be added.
            chosen = oldest
        return _find_upstream_id(chosen.table, slot)

    def newest_members(self) -> list[UpstreamId]:
        """Return the members of the newest generation."""
        if not self._tables:
            return []
        return [member.id for member in self._tables[-1].generation.members]

    def request_release(self, slot: int, now: float) -> None:
        """Ask for the release of a slot on hold, because a packet of the slot arrived."""
        self._release_requests.setdefault(slot, now)

    def changed(self) -> list[int]:
        """Return the slots with several candidates."""
        return list(self._changed)

    def pending(self) -> list[int]:
        """Return the slots that their home should try to release."""
        return [slot for slot in self._changed | self._release_requests if self._held[slot]]

    def changed_since(self, slot: int) -> float | None:
        """Return the time since which a slot has several candidates, ``None`` if it has one."""
        return self._changed.get(slot)

    def epoch(self, slot: int) -> Epoch:
        """Return the highest known epoch of the newest upstream of a slot."""
        upstream = self.newest(slot)
        return self._epochs.get(upstream, NO_EPOCH) if upstream else NO_EPOCH

    def release(self, slot: int) -> SlotRelease:
        """Return the release of a slot with the version and epoch known to this instance."""
        return SlotRelease(self.name(slot), self.version, self.epoch(slot))

    def apply_release(self, release: SlotRelease) -> bool:
        """Apply the release of a slot by its home.

        A release isn't applied while this instance knows a limit on the openings of the slot's
        upstream. The home may not know of the limit yet, and places openings elsewhere once it
        does.

        :returns: whether the slot was released; false for a release that is older than the state
            of this instance, or of a table of another size.
        """
        slot = release.slot.slot
        if not self.raise_floor(SlotFloor(release.slot, release.version)):
            return False
        if release.version < self.version or release.epoch < self.epoch(slot):
            return False
        if self._forwards[self._indexes[slot]] is None:
            return False
        self._changed.pop(slot, None)
        self._release_requests.pop(slot, None)
        self._held[slot] = 0
        return True

    def known_releases(self) -> list[SlotRelease]:
        """Return the releases that add to the information in the retained generations.

        They carry no epoch, so a receiver learns the version as of which a slot was released, but
        doesn't treat the slot as clean.
        """
        return [
            SlotRelease(self.name(slot), version, NO_EPOCH)
            for slot, version in self._released.items()
        ]

    def versions(self) -> tuple[Version, ...]:
        """Return the versions of the retained generations, oldest first."""
        return tuple(item.generation.version for item in self._tables)

    def relevant_versions(self, slot: int) -> tuple[Version, ...]:
        """Return the versions of the generations that count for a slot since its last release."""
        return tuple(item.generation.version for item in self._relevant_tables(slot))

    def placement(self, version: Version, slot: int) -> UpstreamId | None:
        """Return the upstream that a retained generation gives a slot."""
        for item in self._tables:
            if item.generation.version == version:
                return _find_upstream_id(item.table, slot)
        return None

    def floor(self, slot: SlotName) -> SlotFloor:
        """Return the version as of which a slot was last released, as known to this instance.

        Generations are pruned only after every slot has been released as of a later one.
        """
        if slot.size != self.size:
            return SlotFloor(slot, self._pruned)
        return SlotFloor(slot, max(self._pruned, self._released.get(slot.slot, NO_VERSION)))

    def raise_floor(self, floor: SlotFloor) -> bool:
        """Raise the version as of which a slot was released; older generations no longer count.

        :returns: false if the slot belongs to a table of another size.
        """
        slot = floor.slot.slot
        if floor.slot.size != self.size or not 0 <= slot < self.size:
            return False
        self._released[slot] = max(floor.version, self._released.get(slot, NO_VERSION))
        if slot in self._changed and len(self.candidates(slot)) == 1:
            del self._changed[slot]
            self._release_requests.setdefault(slot, 0.0)
        return True

    def _placements(self, slot: int) -> list[UpstreamId]:
        found = (_find_upstream_id(item.table, slot) for item in self._relevant_tables(slot))
        return [upstream for upstream in found if upstream is not None]

    def _all_members(self) -> list[UpstreamId]:
        found = {member.id: None for item in self._tables for member in item.generation.members}
        return list(found)

    def _choose_placed(self, placed: Version) -> SlotTable | None:
        tables = [item for item in self._tables if item.generation.version <= placed]
        return tables[-1] if tables else None

    def _relevant_tables(self, slot: int) -> Sequence[SlotTable]:
        """Return the generations that count for a slot since its last release, oldest first."""
        floor = self._released.get(slot, NO_VERSION)
        start = 0
        for index, item in enumerate(self._tables):
            if item.generation.version <= floor:
                start = index
        return self._tables[start:]

    def _index_newest(self) -> None:
        table = self._tables[-1].table if self._tables else None
        numbers = {
            member.id: number for number, member in enumerate(table.upstreams if table else ())
        }
        newest = (self.newest(slot) for slot in range(self.size))
        self._indexes = array("H", (numbers[name] if name else 0 for name in newest))

    def _find_changed(self, now: float) -> list[SlotName]:
        if len(self._tables) == 1:
            self._released.clear()
            self._changed.clear()
            return []
        contested = []
        for slot in range(self.size):
            if len(self.candidates(slot)) > 1:
                self._changed.setdefault(slot, now)
                if self._hold(slot):
                    contested.append(self.name(slot))
        return contested

    def _resize(self, size: int) -> None:
        if size == self.size:
            return
        before, self.size = self.size, size
        self.mask = size - 1
        self._released = _remap_slots(self._released, before, size) if size > before else {}
        self._changed = _remap_slots(self._changed, before, size)
        self._release_requests = _remap_slots(self._release_requests, before, size)
        held = _remap_slots({slot: 1 for slot in range(before) if self._held[slot]}, before, size)
        self._held = bytearray(size)
        for slot in held:
            self._held[slot] = 1


def _find_upstream_id(table: PlacementTable, slot: int) -> UpstreamId | None:
    upstream = table.upstream_at(slot & (table.size - 1))
    return upstream.id if upstream else None


def _remap_slots(values: Mapping[int, Value], before: int, size: int) -> dict[int, Value]:
    """Map slots to a new table size; the index of a slot is the low bits of the flow key."""
    if size < before:
        return {slot & (size - 1): value for slot, value in values.items()}
    return {
        slot + offset: value for slot, value in values.items() for offset in range(0, size, before)
    }


def _epoch_of(conditions: Mapping[UpstreamId, UpstreamCondition], upstream: UpstreamId) -> Epoch:
    condition = conditions.get(upstream)
    return Epoch(condition.epoch) if condition else NO_EPOCH


def create_service_slots(service: ServiceId, has_datagrams: bool) -> ServiceSlots:
    """Create the slots of a service that has no generation yet."""
    return ServiceSlots(service, has_datagrams)

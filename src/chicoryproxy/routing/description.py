"""The state of a packet core for operators."""

from msgspec import Struct

from chicoryproxy.ids import ServiceId, SlotIndex, Version
from chicoryproxy.protocol.budget import BudgetCount
from chicoryproxy.routing.context import EntryContext
from chicoryproxy.routing.slots import ServiceSlots
from chicoryproxy.routing.takeover import TakeOverCount

MAX_NAMED_SLOTS = 16
"""Largest number of contested slots of a service that a description names."""


class ServiceDescription(Struct, frozen=True):
    """Slots of one service that had a packet.

    :param version: version of the newest generation.
    :param generations: versions whose placement is still in use, oldest first.
    :param size: number of slots.
    :param held: number of slots that wait for a release.
    :param changed: number of slots with several candidates.
    :param contested: the first contested slots, ``MAX_NAMED_SLOTS`` at most.
    """

    service: ServiceId
    version: Version
    generations: tuple[Version, ...]
    size: int
    held: int
    changed: int
    contested: tuple[SlotIndex, ...]


class EntryDescription(Struct, frozen=True):
    """State of a packet core.

    :param placed: version that new flows are placed by.
    :param is_behind: a peer knows a higher version, or a pause made the view stale.
    :param records: number of flow records.
    :param records_limit: largest number of flow records.
    :param hints_left_out: records that did not fit into the control budget.
    """

    version: Version
    placed: Version
    highest: Version
    is_behind: bool
    services: tuple[ServiceDescription, ...]
    records: int
    records_limit: int
    hints_left_out: int
    budget: tuple[BudgetCount, ...]
    take_over: TakeOverCount


def describe_entry(context: EntryContext) -> EntryDescription:
    """Return the state of an entry."""
    view = context.view
    return EntryDescription(
        version=view.version,
        placed=view.placed,
        highest=view.highest,
        is_behind=view.is_behind,
        services=tuple(_describe_service(slots) for slots in view.built_slots()),
        records=len(context.records),
        records_limit=context.records.table.capacity,
        hints_left_out=context.hints.omitted_count,
        budget=context.budget.count(),
        take_over=context.take_over.count(),
    )


def _describe_service(slots: ServiceSlots) -> ServiceDescription:
    held = slots.held()
    return ServiceDescription(
        service=slots.service,
        version=slots.version,
        generations=slots.versions(),
        size=slots.size,
        held=len(held),
        changed=slots.changed_count,
        contested=tuple(SlotIndex(slot) for slot in held[:MAX_NAMED_SLOTS]),
    )

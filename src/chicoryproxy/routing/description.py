"""Description of a packet core's state for operators."""

from msgspec import Struct

from chicoryproxy.ids import ServiceId, SlotIndex, Version
from chicoryproxy.protocol.budget import BudgetCount
from chicoryproxy.routing.context import EntryContext
from chicoryproxy.routing.slots import ServiceSlots
from chicoryproxy.routing.takeover import TakeOverCount

MAX_LISTED_SLOTS = 16
"""Maximum number of contested slots that the description of a service lists."""


class ServiceDescription(Struct, frozen=True):
    """Slots of one service that has received a packet.

    :param version: version of the newest generation.
    :param generations: versions whose placement is still in use, oldest first.
    :param size: number of slots.
    :param held: number of slots that await a release by their home.
    :param changed: number of slots with several candidates.
    :param contested: the first contested slots, at most ``MAX_LISTED_SLOTS``.
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

    :param placed: version by which new flows are placed.
    :param is_behind: a peer has a higher version, or a pause made the view stale.
    :param records: number of flow records.
    :param records_limit: maximum number of flow records.
    :param hints_left_out: records that were not sent because they exceeded the control budget.
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
    """Describe the state of an entry."""
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
        budget=context.budget.get_counts(),
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
        contested=tuple(SlotIndex(slot) for slot in held[:MAX_LISTED_SLOTS]),
    )

"""Messages between entries: records, slot queries and releases, grants, leaving."""

from collections.abc import Callable

from chicoryproxy.ids import NO_VERSION, InstanceId
from chicoryproxy.protocol.actions import SendToPeer
from chicoryproxy.protocol.messages import (
    EntryMessage,
    FlowAnswer,
    FlowHints,
    FlowQuery,
    FlowRecord,
    Grant,
    GrantRequest,
    Handover,
    HandoverAck,
    LeavingAck,
    LeavingNotice,
    OpeningOutcomes,
    Priority,
    ReleaseQuery,
    SlotActivity,
    SlotName,
    SlotQuery,
    SlotQuestion,
    SlotReleases,
    SlotReport,
)
from chicoryproxy.routing.handover import LeavingEntry
from chicoryproxy.routing.parts import Actions, EntryParts
from chicoryproxy.routing.releases import SlotReleaser
from chicoryproxy.states import UpstreamState

MAX_RECORDS_PER_ANSWER = 20_000


class PeerExchange:
    """Answers peers and takes their answers.

    :param parts: state of the entry.
    :param leaving: state of the own graceful stop.
    :param releases: answers questions about released slots.
    """

    def __init__(self, parts: EntryParts, leaving: LeavingEntry, releases: SlotReleaser) -> None:
        self._parts = parts
        self._leaving = leaving
        self._releases = releases
        self._handlers: dict[type, Callable[..., Actions]] = {
            FlowHints: self._take_hints,
            FlowQuery: self._answer_query,
            FlowAnswer: self._take_answer,
            Handover: self._take_handover,
            HandoverAck: self._note_handover,
            SlotQuery: self._report_slots,
            SlotReport: self._take_report,
            SlotReleases: self._take_releases,
            ReleaseQuery: self._repeat_releases,
            GrantRequest: self._grant,
            Grant: self._take_grant,
            OpeningOutcomes: self._take_outcomes,
            LeavingNotice: self._note_leaving,
            LeavingAck: self._note_acknowledged,
        }

    def receive(self, sender: InstanceId, message: EntryMessage, now: float) -> Actions:
        """Take a message of a peer."""
        return self._handlers[type(message)](sender, message, now)

    def _take_hints(self, sender: InstanceId, message: FlowHints, now: float) -> Actions:
        for record in message.records:
            self._take_record(record, now)
        return []

    def _take_record(self, record: FlowRecord, now: float) -> None:
        route = self._parts.world.find_service(record.service)
        if route is not None and record.upstream in route.upstreams:
            self._parts.records.store_peer_record(record, now)

    def _take_copy(self, record: FlowRecord, now: float) -> bool:
        """Take the copy of a peer's record; return whether the flow was unknown here."""
        route = self._parts.world.find_service(record.service)
        if route is None or record.upstream not in route.upstreams:
            return False
        return self._parts.records.import_record(record, now)

    def _answer_query(self, sender: InstanceId, message: FlowQuery, now: float) -> Actions:
        records: list[FlowRecord] = []
        floors = []
        for question in message.questions:
            limit = MAX_RECORDS_PER_ANSWER - len(records)
            records += self._records_for(question, limit)
            route = self._parts.world.find_service(question.slot.service)
            if route is not None and route.slots is not None:
                floors.append(route.slots.floor(question.slot))
        known = tuple(floor for floor in floors if floor.version != NO_VERSION)
        answer = FlowAnswer(message.query, tuple(records), known)
        # Two homes at once could place one opening on two upstreams.
        self._parts.take_over.yield_slots(question.slot for question in message.questions)
        return [SendToPeer(sender, answer, Priority.SAFETY)]

    def _records_for(self, question: SlotQuestion, limit: int) -> list[FlowRecord]:
        """Return the records of a slot that its base, as both sides see it, doesn't imply."""
        route = self._parts.world.find_service(question.slot.service)
        if route is None or route.slots is None:
            return []
        slots = route.slots
        base = slots.base_name(question.slot.slot & slots.mask)
        besides = base if base == question.base else None
        return list(
            self._parts.records.records_of(question.slot, besides, limit, for_new_home=True)
        )

    def _take_answer(self, sender: InstanceId, message: FlowAnswer, now: float) -> Actions:
        for record in message.records:
            if self._take_copy(record, now):
                self._parts.tell_successor(record)
        for floor in message.floors:
            route = self._parts.world.find_service(floor.slot.service)
            if route is not None and route.slots is not None:
                route.slots.raise_floor(floor)
        self._parts.take_over.receive(sender, message)
        return []

    def _take_handover(self, sender: InstanceId, message: Handover, now: float) -> Actions:
        for record in message.records:
            self._take_copy(record, now)
        self._take_releases(sender, SlotReleases(message.releases), now)
        return [SendToPeer(sender, HandoverAck(message.number), Priority.SAFETY)]

    def _note_handover(self, sender: InstanceId, message: HandoverAck, now: float) -> Actions:
        released = self._parts.handovers.note_acknowledged(message.number, sender)
        return self._releases.apply_releases(released)

    def _report_slots(self, sender: InstanceId, message: SlotQuery, now: float) -> Actions:
        activities = tuple(self._report_slot(slot) for slot in message.slots)
        return [SendToPeer(sender, SlotReport(message.query, activities), Priority.HANDOVER)]

    def _report_slot(self, slot: SlotName) -> SlotActivity:
        return SlotActivity(
            slot,
            self._parts.world.newest_version(slot.service),
            self._parts.has_live_older(slot),
        )

    def _take_report(self, sender: InstanceId, message: SlotReport, now: float) -> Actions:
        self._parts.settlement.receive(sender, message)
        return []

    def _take_releases(self, sender: InstanceId, message: SlotReleases, now: float) -> Actions:
        for release in message.releases:
            route = self._parts.world.find_service(release.slot.service)
            if route is None or route.slots is None or self._parts.has_live_older(release.slot):
                continue
            route.slots.apply_release(release)
        return []

    def _repeat_releases(self, sender: InstanceId, message: ReleaseQuery, now: float) -> Actions:
        return self._releases.answer_query(sender, message)

    def _grant(self, sender: InstanceId, message: GrantRequest, now: float) -> Actions:
        grant = self._parts.decide_grant(sender, message, now)
        return [SendToPeer(sender, grant, Priority.SAFETY)]

    def _take_grant(self, sender: InstanceId, message: Grant, now: float) -> Actions:
        if self._parts.world.state_of(message.upstream) is not UpstreamState.GONE:
            self._parts.holder.receive(message, now)
        return []

    def _take_outcomes(self, sender: InstanceId, message: OpeningOutcomes, now: float) -> Actions:
        self._parts.outcomes.add(message)
        return []

    def _note_leaving(self, sender: InstanceId, message: LeavingNotice, now: float) -> Actions:
        if message.instance == sender and self._parts.directory.mark_leaving(sender):
            self._parts.change_homes()
        return [SendToPeer(sender, LeavingAck(self._parts.own), Priority.SAFETY)]

    def _note_acknowledged(self, sender: InstanceId, message: LeavingAck, now: float) -> Actions:
        self._leaving.note_noticed(sender)
        return []


def create_peer_exchange(
    parts: EntryParts, leaving: LeavingEntry, releases: SlotReleaser
) -> PeerExchange:
    """Create the exchange of one entry with its peers."""
    return PeerExchange(parts, leaving, releases)

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
from chicoryproxy.routing.context import Actions, EntryContext
from chicoryproxy.routing.handover import LeavingEntry
from chicoryproxy.routing.releases import SlotReleaser
from chicoryproxy.states import UpstreamState

MAX_RECORDS_PER_ANSWER = 20_000


class PeerExchange:
    """Handles the messages of peers.

    :param context: state of the entry.
    :param leaving: graceful shutdown of this instance.
    :param releases: answers queries about released slots.
    """

    def __init__(
        self, context: EntryContext, leaving: LeavingEntry, releases: SlotReleaser
    ) -> None:
        self._context = context
        self._leaving = leaving
        self._releases = releases
        self._handlers: dict[type, Callable[..., Actions]] = {
            FlowHints: self._handle_flow_hints,
            FlowQuery: self._handle_flow_query,
            FlowAnswer: self._handle_flow_answer,
            Handover: self._handle_handover,
            HandoverAck: self._handle_handover_ack,
            SlotQuery: self._handle_slot_query,
            SlotReport: self._handle_slot_report,
            SlotReleases: self._handle_slot_releases,
            ReleaseQuery: self._handle_release_query,
            GrantRequest: self._handle_grant_request,
            Grant: self._handle_grant,
            OpeningOutcomes: self._handle_opening_outcomes,
            LeavingNotice: self._handle_leaving_notice,
            LeavingAck: self._handle_leaving_ack,
        }

    def receive(self, sender: InstanceId, message: EntryMessage, now: float) -> Actions:
        """Handle a message from a peer and return the resulting actions."""
        return self._handlers[type(message)](sender, message, now)

    def _handle_flow_hints(self, sender: InstanceId, message: FlowHints, now: float) -> Actions:
        for record in message.records:
            self._store_record(record, now)
        return []

    def _store_record(self, record: FlowRecord, now: float) -> None:
        route = self._context.view.find_service(record.service)
        if route is not None and record.upstream in route.upstreams:
            self._context.records.store_peer_record(record, now)

    def _store_copy(self, record: FlowRecord, now: float) -> bool:
        """Store a copy of a peer's record; return whether this instance had no record of it."""
        route = self._context.view.find_service(record.service)
        if route is None or record.upstream not in route.upstreams:
            return False
        return self._context.records.import_record(record, now)

    def _handle_flow_query(self, sender: InstanceId, message: FlowQuery, now: float) -> Actions:
        slots = [question.slot for question in message.questions]
        if self._context.own < sender and self._context.take_over.is_querying(slots):
            # Of two instances that query each other, the first one finishes and decides before it
            # answers. The other repeats its query.
            return []
        records: list[FlowRecord] = []
        floors = []
        for question in message.questions:
            self._build_slots(question.slot, now)
            limit = MAX_RECORDS_PER_ANSWER - len(records)
            records += self._find_records(question, limit)
            route = self._context.view.find_service(question.slot.service)
            if route is not None and route.slots is not None:
                floors.append(route.slots.floor(question.slot))
        known_floors = tuple(floor for floor in floors if floor.version != NO_VERSION)
        answer = FlowAnswer(message.query, tuple(records), known_floors)
        # The querying peer is now home of these slots. If both instances decided on their unknown
        # flows, the copies of one opening could be placed on two upstreams.
        self._context.take_over.invalidate(slots)
        return [SendToPeer(sender, answer, Priority.SAFETY)]

    def _build_slots(self, slot: SlotName, now: float) -> None:
        """Build the slots of a service whose records came before its first packet."""
        route = self._context.view.find_service(slot.service)
        if route is not None and len(self._context.records):
            self._context.view.get_slots(route, now)

    def _find_records(self, question: SlotQuestion, limit: int) -> list[FlowRecord]:
        """Return the records of a slot.

        Records on the base upstream are left out if both instances see the same base.
        """
        route = self._context.view.find_service(question.slot.service)
        if route is None or route.slots is None:
            return []
        slots = route.slots
        base = slots.base_name(question.slot.slot & slots.mask)
        excluded = base if base == question.base else None
        return list(
            self._context.records.records_of(question.slot, excluded, limit, for_new_home=True)
        )

    def _handle_flow_answer(self, sender: InstanceId, message: FlowAnswer, now: float) -> Actions:
        for record in message.records:
            if self._store_copy(record, now):
                self._context.queue_for_successor(record)
        for floor in message.floors:
            route = self._context.view.find_service(floor.slot.service)
            if route is not None and route.slots is not None:
                route.slots.raise_floor(floor)
        self._context.take_over.receive_answer(sender, message)
        return []

    def _handle_handover(self, sender: InstanceId, message: Handover, now: float) -> Actions:
        for record in message.records:
            self._store_copy(record, now)
        self._handle_slot_releases(sender, SlotReleases(message.releases), now)
        return [SendToPeer(sender, HandoverAck(message.number), Priority.SAFETY)]

    def _handle_handover_ack(self, sender: InstanceId, message: HandoverAck, now: float) -> Actions:
        released = self._context.handovers.acknowledge(message.number, sender)
        return self._releases.apply_releases(released)

    def _handle_slot_query(self, sender: InstanceId, message: SlotQuery, now: float) -> Actions:
        for slot in message.slots:
            self._build_slots(slot, now)
        activities = tuple(self._describe_activity(slot) for slot in message.slots)
        return [SendToPeer(sender, SlotReport(message.query, activities), Priority.HANDOVER)]

    def _describe_activity(self, slot: SlotName) -> SlotActivity:
        return SlotActivity(
            slot,
            self._context.view.newest_version(slot.service),
            self._context.has_live_older_flow(slot),
        )

    def _handle_slot_report(self, sender: InstanceId, message: SlotReport, now: float) -> Actions:
        self._context.agreement.receive_report(sender, message)
        return []

    def _handle_slot_releases(
        self, sender: InstanceId, message: SlotReleases, now: float
    ) -> Actions:
        for release in message.releases:
            route = self._context.view.find_service(release.slot.service)
            if (
                route is None
                or route.slots is None
                or self._context.has_live_older_flow(release.slot)
            ):
                continue
            route.slots.apply_release(release)
        return []

    def _handle_release_query(
        self, sender: InstanceId, message: ReleaseQuery, now: float
    ) -> Actions:
        return self._releases.answer_query(sender, message)

    def _handle_grant_request(
        self, sender: InstanceId, message: GrantRequest, now: float
    ) -> Actions:
        grant = self._context.decide_grant(sender, message, now)
        return [SendToPeer(sender, grant, Priority.SAFETY)]

    def _handle_grant(self, sender: InstanceId, message: Grant, now: float) -> Actions:
        if self._context.view.state_of(message.upstream) is not UpstreamState.GONE:
            self._context.grant_holder.receive(message, now)
        return []

    def _handle_opening_outcomes(
        self, sender: InstanceId, message: OpeningOutcomes, now: float
    ) -> Actions:
        self._context.outcomes.add(message)
        return []

    def _handle_leaving_notice(
        self, sender: InstanceId, message: LeavingNotice, now: float
    ) -> Actions:
        if message.instance == sender and self._context.directory.mark_leaving(sender):
            self._context.handle_home_change()
        return [SendToPeer(sender, LeavingAck(self._context.own), Priority.SAFETY)]

    def _handle_leaving_ack(self, sender: InstanceId, message: LeavingAck, now: float) -> Actions:
        self._leaving.acknowledge_notice(sender)
        return []


def create_peer_exchange(
    context: EntryContext, leaving: LeavingEntry, releases: SlotReleaser
) -> PeerExchange:
    """Create the handler of messages between one entry and its peers."""
    return PeerExchange(context, leaving, releases)

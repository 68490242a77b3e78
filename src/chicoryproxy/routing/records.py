"""Flow records that name the service and the upstream of a flow."""

from collections.abc import Iterator, Sequence

from msgspec import Struct

from chicoryproxy.ids import FlowKey, ServiceId, UpstreamId
from chicoryproxy.model import Service
from chicoryproxy.protocol.messages import FlowRecord, SlotName
from chicoryproxy.routing.flowtable import FlowFlag, FlowTable, upstream_number
from chicoryproxy.states import DropReason

_HALF_OPEN = int(FlowFlag.HALF_OPEN)
_IMPORTED = int(FlowFlag.IMPORTED)


class RecordTarget(Struct, frozen=True):
    """The service and the upstream of a flow record."""

    service: ServiceId
    upstream: UpstreamId


class FlowRecords:
    """The flow table of an entry, addressed by names instead of upstream numbers.

    Each number stands for one upstream of one service and is never reused, so a record of one
    service can't be mistaken for a record of another.

    :param table: table that stores the records.
    """

    def __init__(self, table: FlowTable) -> None:
        self.table = table
        self._targets: list[RecordTarget] = []
        self._numbers: dict[RecordTarget, int] = {}

    def __len__(self) -> int:
        return len(self.table)

    def set_service_limits(self, service: Service) -> None:
        """Apply the idle timeout of a service to its upstreams."""
        for upstream in service.upstreams:
            number = self._upstream_number(RecordTarget(service.id, upstream.id))
            self.table.set_idle_timeout(number, service.limits.idle_timeout_s)

    def find(self, flow: FlowKey) -> RecordTarget | None:
        """Return the service and upstream of a flow, or ``None`` if it has no record."""
        state = self.table.find(flow)
        return None if state is None else self._targets[upstream_number(state)]

    def has_flag(self, flow: FlowKey, flag: FlowFlag) -> bool:
        """Return whether a flow has a record with the given flag."""
        state = self.table.find(flow)
        return state is not None and bool(state & int(flag))

    def record(
        self,
        flow: FlowKey,
        service: ServiceId,
        upstream: UpstreamId,
        flags: FlowFlag,
        now: float,
    ) -> DropReason | None:
        """Add or replace the record of a flow; see ``FlowTable.record``."""
        return self.table.record(
            flow, self._upstream_number(RecordTarget(service, upstream)), flags, now
        )

    def store_peer_record(self, record: FlowRecord, now: float) -> None:
        """Store a record received from a peer, unless this entry placed the flow itself."""
        if not self.has_flag(record.flow, FlowFlag.OPENED_HERE):
            self.record(record.flow, record.service, record.upstream, FlowFlag(0), now)

    def import_record(self, record: FlowRecord, now: float) -> bool:
        """Store a copy of a peer's record, or renew an existing record of the same target.

        A record of a flow that this entry placed itself is not replaced.

        :returns: whether the flow had no record before.
        """
        own = self.find(record.flow)
        if own == RecordTarget(record.service, record.upstream):
            self.table.renew(record.flow, now)
        elif not self.has_flag(record.flow, FlowFlag.OPENED_HERE):
            self.record(record.flow, record.service, record.upstream, FlowFlag.IMPORTED, now)
        return own is None

    def records_of(
        self,
        slot: SlotName,
        excluded: UpstreamId | None,
        limit: int,
        for_new_home: bool = False,
    ) -> Sequence[FlowRecord]:
        """Return records of a slot that name another upstream than the excluded one.

        :param excluded: upstream whose records are left out.
        :param limit: maximum number of records.
        :param for_new_home: also return half-open records of the excluded upstream, since their
            opening may be repeated, and leave out imported records.
        """
        found: list[FlowRecord] = []
        for flow, state in self._states_of(slot):
            target = self._targets[upstream_number(state)]
            may_repeat = for_new_home and state & _HALF_OPEN
            is_copy = for_new_home and state & _IMPORTED
            if not is_copy and (may_repeat or target.upstream != excluded):
                found.append(FlowRecord(flow, slot.service, target.upstream))
            if len(found) >= limit:
                break
        return found

    def has_other_records(self, slot: SlotName, excluded: UpstreamId | None) -> bool:
        """Return whether a slot has a record that names another upstream than the excluded one."""
        return bool(self.records_of(slot, excluded, 1))

    def _states_of(self, slot: SlotName) -> Iterator[tuple[FlowKey, int]]:
        for flow, state in self.table.flows_of(slot.slot, slot.size):
            if self._targets[upstream_number(state)].service == slot.service:
                yield flow, state

    def _upstream_number(self, target: RecordTarget) -> int:
        number = self._numbers.get(target)
        if number is None:
            number = len(self._targets)
            self._numbers[target] = number
            self._targets.append(target)
        return number


def create_flow_records(capacity: int) -> FlowRecords:
    """Create empty records.

    :param capacity: maximum number of records.
    """
    return FlowRecords(FlowTable(capacity))

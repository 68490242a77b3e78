"""Flow records by the names of service and upstream."""

from collections.abc import Iterator, Sequence

from msgspec import Struct

from chicoryproxy.flowtable import FlowFlag, FlowTable, upstream_number
from chicoryproxy.ids import FlowKey, ServiceId, UpstreamId
from chicoryproxy.messages import FlowRecord, SlotName
from chicoryproxy.model import Service
from chicoryproxy.states import DropReason

_OPENED_HERE = int(FlowFlag.OPENED_HERE)
_CLOSING = int(FlowFlag.CLOSING)
_HALF_OPEN = int(FlowFlag.HALF_OPEN)


class RecordTarget(Struct, frozen=True):
    """The upstream that a record names."""

    service: ServiceId
    upstream: UpstreamId


class FlowRecords:
    """The flow table of an entry, with numbers in place of names inside.

    A number stands for one upstream of one service and is never used for another, so a record of
    one service can't be read as one of another service.

    :param table: the table that holds the records.
    """

    def __init__(self, table: FlowTable) -> None:
        self.table = table
        self._targets: list[RecordTarget] = []
        self._numbers: dict[RecordTarget, int] = {}

    def __len__(self) -> int:
        return len(self.table)

    def learn_service(self, service: Service) -> None:
        """Take the idle timeout of a service for its upstreams."""
        for upstream in service.upstreams:
            number = self._number(RecordTarget(service.id, upstream.id))
            self.table.set_idle_timeout(number, service.limits.idle_timeout_s)

    def find(self, flow: FlowKey) -> RecordTarget | None:
        """Return what is recorded of a flow."""
        state = self.table.find(flow)
        return None if state is None else self._targets[upstream_number(state)]

    def has_flag(self, flow: FlowKey, flag: FlowFlag) -> bool:
        """Return whether the record of a flow has a flag; false without a record."""
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
        """Write the record of a flow; see ``FlowTable.record``."""
        return self.table.record(flow, self._number(RecordTarget(service, upstream)), flags, now)

    def take(self, record: FlowRecord, now: float) -> None:
        """Write a record that a peer sent, unless this entry decided on the flow itself."""
        if not self.has_flag(record.flow, FlowFlag.OPENED_HERE):
            self.record(record.flow, record.service, record.upstream, FlowFlag(0), now)

    def records_of(
        self,
        slot: SlotName,
        besides: UpstreamId | None,
        limit: int,
        with_half_open: bool = False,
    ) -> Sequence[FlowRecord]:
        """Return records of a slot that name another upstream than the given one.

        :param with_half_open: also those of the given one whose opening may be repeated.
        """
        found = []
        for flow, target in self._targets_of(slot):
            is_half_open = with_half_open and self.has_flag(flow, FlowFlag.HALF_OPEN)
            if is_half_open or target.upstream != besides:
                found.append(FlowRecord(flow, slot.service, target.upstream))
            if len(found) >= limit:
                break
        return found

    def has_live(self, slot: SlotName, besides: UpstreamId | None) -> bool:
        """Return whether a slot has a record that names another upstream than the given one."""
        return bool(self.records_of(slot, besides, 1))

    def _targets_of(self, slot: SlotName) -> Iterator[tuple[FlowKey, RecordTarget]]:
        for flow, state in self.table.flows_of(slot.slot, slot.size):
            target = self._targets[upstream_number(state)]
            if target.service == slot.service:
                yield flow, target

    def _number(self, target: RecordTarget) -> int:
        number = self._numbers.get(target)
        if number is None:
            number = len(self._targets)
            self._numbers[target] = number
            self._targets.append(target)
        return number


def create_flow_records(capacity: int) -> FlowRecords:
    """Create empty records.

    :param capacity: largest number of records.
    """
    return FlowRecords(FlowTable(capacity))

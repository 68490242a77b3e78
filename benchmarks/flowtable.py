"""Compares memory layouts of the flow table: ``PYTHONPATH=src python -m benchmarks.flowtable``.

Each layout runs in a process of its own, so that it can't reuse memory that another one freed.
Bytes per flow are the growth of the resident set. Times of look-ups and of calls that only
``FlowTable`` has are processor time; inserts and the longest call are wall-clock time.
"""

import gc
import multiprocessing
import time
from abc import ABC, abstractmethod
from array import array
from collections.abc import Callable, Sequence
from functools import partial

import psutil
import xxhash
from msgspec import Struct

from chicoryproxy.routing.flowtable import FlowFlag, FlowTable

FLOW_COUNTS = (300_000, 600_000)
LOOKUP_COUNT = 300_000
UPSTREAM_COUNT = 24
REPEATS = 5
EXPIRE_BATCH_RECORDS = 2_000
ESTABLISHED = FlowFlag(0)


class Layout(ABC):
    """A data structure for flow records."""

    @abstractmethod
    def insert(self, flow: int, number: int) -> None:
        """Insert a record."""

    @abstractmethod
    def find(self) -> Callable[[int], int | None]:
        """Return the look-up function."""


class _PlainDict(Layout):
    """A dictionary from flow key to a packed integer, each an object of its own."""

    def __init__(self, size: int) -> None:
        self._records: dict[int, int] = {}

    def insert(self, flow: int, number: int) -> None:
        self._records[flow] = number << 24 | (flow & 0xFF) << 8 | 1 << 40

    def find(self) -> Callable[[int], int | None]:
        return self._records.get


class _OpenAddressing(Layout):
    """Two arrays with linear probing, at most 3/4 full."""

    def __init__(self, size: int) -> None:
        slots = 1 << (size * 4 // 3).bit_length()
        self._mask = slots - 1
        self._keys = array("Q", bytes(8 * slots))
        self._states = array("Q", bytes(8 * slots))

    def insert(self, flow: int, number: int) -> None:
        at = flow & self._mask
        while self._keys[at] not in (0, flow):
            at = (at + 1) & self._mask
        self._keys[at] = flow
        self._states[at] = number << 24

    def find(self) -> Callable[[int], int | None]:
        return self._find

    def _find(self, flow: int) -> int | None:
        keys = self._keys
        mask = self._mask
        at = flow & mask
        while (key := keys[at]) != flow:
            if not key:
                return None
            at = (at + 1) & mask
        return self._states[at]


class _ProductTable(Layout):
    """The ``FlowTable`` of chicoryproxy."""

    def __init__(self, size: int) -> None:
        self.table = FlowTable(size)

    def insert(self, flow: int, number: int) -> None:
        self.table.record(flow, number, ESTABLISHED, float(flow & 0xFF))

    def find(self) -> Callable[[int], int | None]:
        return self.table.find


LAYOUTS = {"plain dict": _PlainDict, "open addressing": _OpenAddressing, "FlowTable": _ProductTable}


class LayoutResult(Struct):
    """Results of a layout with a number of flows."""

    bytes_per_flow: float
    insert_ns: float
    longest_insert_ms: float
    find_ns: float


def create_flow_key(number: int) -> int:
    """Return a flow key that is distributed like those of the entry."""
    return xxhash.xxh3_64_intdigest(number.to_bytes(8, "big"))


def measure_layout(name: str, size: int) -> LayoutResult:
    """Fill a layout, then time look-ups of known flows as the fastest of ``REPEATS`` rounds."""
    process = psutil.Process()
    gc.collect()
    before = process.memory_info().rss
    layout = LAYOUTS[name](size)
    longest_s = 0.0
    total_s = 0.0
    for number in range(size):
        flow = create_flow_key(number)
        started = time.perf_counter()
        layout.insert(flow, number % UPSTREAM_COUNT)
        elapsed_s = time.perf_counter() - started
        total_s += elapsed_s
        longest_s = max(longest_s, elapsed_s)
    gc.collect()
    rss_growth = process.memory_info().rss - before
    find = layout.find()
    flows = [create_flow_key(number) for number in range(0, size, size // LOOKUP_COUNT)]
    found = min(measure_call_ns(find, flows) for _ in range(REPEATS))
    return LayoutResult(rss_growth / size, total_s / size * 1e9, longest_s * 1e3, found)


def measure_call_ns(call: Callable[[int], object], flows: Sequence[int]) -> float:
    """Return the nanoseconds per call, less the time of the empty loop."""
    started = time.process_time()
    for flow in flows:
        call(flow)
    total_s = time.process_time() - started
    started = time.process_time()
    for _flow in flows:
        pass
    return (total_s - (time.process_time() - started)) / len(flows) * 1e9


def _touch(table: FlowTable, now: float, flow: int) -> None:
    table.touch(flow, now)


def measure_table(size: int) -> Sequence[str]:
    """Measure the operations that only ``FlowTable`` has and return lines to print."""
    layout = _ProductTable(size)
    for number in range(size):
        layout.insert(create_flow_key(number), number % UPSTREAM_COUNT)
    table = layout.table
    flows = [create_flow_key(number) for number in range(LOOKUP_COUNT)]
    later_tick_ns = measure_call_ns(partial(_touch, table, 280.0), flows)
    same_tick_ns = measure_call_ns(partial(_touch, table, 280.0), flows)
    longest_s, total, calls = 0.0, 0.0, 0
    while total < size:
        started = time.perf_counter()
        table.expire(290.0, EXPIRE_BATCH_RECORDS)
        longest_s = max(longest_s, time.perf_counter() - started)
        total += EXPIRE_BATCH_RECORDS
        calls += 1
    started = time.process_time()
    found = sum(1 for slot in range(64) for _ in table.flows_of(slot, 512))
    slot_us = (time.process_time() - started) / 64 * 1e6
    started = time.process_time()
    full = FlowTable(size // 10)
    for flow in flows:
        full.record(flow, 0, FlowFlag.HALF_OPEN, 0.0)
    flood_ns = (time.process_time() - started) / len(flows) * 1e9
    return (
        f"  touch in the same tick {same_tick_ns:.0f} ns, in a later tick {later_tick_ns:.0f} ns",
        f"  expire({EXPIRE_BATCH_RECORDS}): longest call {longest_s * 1e3:.2f} ms, "
        f"{calls} calls a sweep",
        f"  flows_of: {slot_us:.0f} us a slot of 512 with {found // 64} flows",
        f"  opening into a full table under a flood: {flood_ns:.0f} ns, {len(full)} records",
    )


def main() -> None:
    """Measure every layout and print the results."""
    context = multiprocessing.get_context("spawn")
    for size in FLOW_COUNTS:
        print(f"{size} flows")
        for name in LAYOUTS:
            with context.Pool(1) as pool:
                result = pool.apply(measure_layout, (name, size))
            print(
                f"  {name:16} {result.bytes_per_flow:6.1f} B/flow,"
                f" insert {result.insert_ns:5.0f} ns"
                f" (longest {result.longest_insert_ms:6.2f} ms), find {result.find_ns:4.0f} ns"
            )
        with context.Pool(1) as pool:
            print("\n".join(pool.apply(measure_table, (size,))))


if __name__ == "__main__":
    main()

"""Processor time to log a routing decision: ``python -m benchmarks.loglines``.

Compares the entry's batch encoder with the ``logging`` module, which all other lines use.
"""

import os
import time
from collections.abc import Callable

from chicoryproxy.ids import FlowKey, ServiceId, SlotIndex, UpstreamId, Version
from chicoryproxy.protocol.actions import LogRoute
from chicoryproxy.states import RouteReason
from chicoryproxy.telemetry.logs import MAX_DECISIONS_PER_FLUSH, LogFormat, RouteLog, configure_logs

LINE_COUNT = 20_000


def create_decision(flow: int) -> LogRoute:
    """Create a routing decision for an opening."""
    return LogRoute(
        RouteReason.CLEAN_SLOT,
        ServiceId("qa-desk"),
        FlowKey(flow),
        SlotIndex(flow % 512),
        Version(7),
        UpstreamId("qa-desk-3"),
    )


def measure_us(call: Callable[[], object], count: int) -> float:
    """Return the processor time of a call per line, in microseconds."""
    began = time.process_time()
    call()
    return (time.process_time() - began) / count * 1e6


def write_batches(log: RouteLog) -> None:
    """Queue and write all lines in batches of the size that the entry uses."""
    for first in range(0, LINE_COUNT, MAX_DECISIONS_PER_FLUSH):
        for flow in range(first, min(LINE_COUNT, first + MAX_DECISIONS_PER_FLUSH)):
            log.add(create_decision(flow))
        log.flush()


def write_through_logging(log: RouteLog) -> None:
    """Write all lines through ``logging``."""
    for flow in range(LINE_COUNT):
        log._write(create_decision(flow))


def main() -> None:
    """Measure each step and print the table."""
    with open(os.devnull, "w") as output:
        configure_logs(LogFormat.JSON, output)
        create_us = measure_us(
            lambda: [create_decision(flow) for flow in range(LINE_COUNT)], LINE_COUNT
        )
        batched_us = measure_us(lambda: write_batches(RouteLog()), LINE_COUNT)
        single_us = measure_us(lambda: write_through_logging(RouteLog()), LINE_COUNT)
    print("| step | us a line |")
    print("|---|---:|")
    print(f"| the decision itself | {create_us:.2f} |")
    print(f"| queued and written in batches, decision included | {batched_us:.2f} |")
    print(f"| written through logging, decision included | {single_us:.2f} |")


if __name__ == "__main__":
    main()

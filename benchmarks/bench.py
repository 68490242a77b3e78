"""Runs the benchmarks of docs/MEASURES.md: ``make bench``, or ``python -m benchmarks.bench``.

Compares the data path with a bare UDP forwarder, and configuration changes under load with two
baseline packet cores. Also measures the time per log line, the memory per flow and the opening
rate at a cold upstream. ``--quick`` runs fewer rounds, one seed and a tenth of the flows.
"""

import argparse
import os
import platform
import time

import psutil

from benchmarks import changes, flowtable, forwarding, loglines, openings
from benchmarks.changecases import CASES
from benchmarks.changefleet import CoreKind

GIB = 1024**3
SEEDS = (1, 2, 3)
QUICK_FLOWS_DIVISOR = 10


def print_title(text: str) -> None:
    """Print the heading of a benchmark."""
    print(f"\n## {text}\n", flush=True)


def main() -> None:
    """Run every benchmark and print its results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true")
    options = parser.parse_args()
    seeds = SEEDS[:1] if options.quick else SEEDS
    flows = changes.FLOWS // (QUICK_FLOWS_DIVISOR if options.quick else 1)
    memory_gib = psutil.virtual_memory().total / GIB
    print(f"{time.strftime('%Y-%m-%d %H:%M')} on {os.cpu_count()} cores, {memory_gib:.0f} GiB,")
    print(f"Python {platform.python_version()}")
    print_title("Data path")
    forwarding.print_throughput(1 if options.quick else forwarding.DEFAULT_ROUNDS)
    print()
    forwarding.print_latency()
    print_title("Log lines")
    loglines.main()
    print_title("Flow table")
    flowtable.main()
    print_title("Openings at a cold upstream")
    openings.print_rows(openings.run_all(seeds, flows))
    print_title("Changes under load")
    rows = changes.run_all(list(CASES), list(CoreKind), seeds, flows)
    changes.print_rows(rows)


if __name__ == "__main__":
    main()

"""``chicory-load``: opens flows against a running fleet and verifies the responses."""

import asyncio
import ipaddress
import sys
from collections.abc import Sequence
from dataclasses import dataclass
from enum import IntEnum, unique
from pathlib import Path
from typing import Annotated

import cappa
import msgspec

from chicoryproxy.address import EndpointProblem, parse_endpoint
from chicoryproxy.commands.loadplot import draw_load
from chicoryproxy.commands.loadrecord import LoadRecord, LoadSummary
from chicoryproxy.commands.loadrun import LoadPlan, list_plan_errors, run_load
from chicoryproxy.configuration.options import VERSION
from chicoryproxy.errors import ChicoryError
from chicoryproxy.model import Endpoint

HISTOGRAM_NAME = "latency.hgrm"
SUMMARY_NAME = "summary.json"
INTERVALS_NAME = "intervals.json"
PLOT_STEM = "load"


@unique
class ExitCode(IntEnum):
    """Exit codes of ``chicory-load``."""

    SUCCESS = 0
    BROKEN = 1
    USAGE_ERROR = 2
    INTERRUPTED = 130


class UsageError(ChicoryError):
    """An argument is invalid, or a socket or file can't be used."""


@cappa.command(
    name="chicory-load",
    help="Open flows against a running fleet and verify every byte of the responses.",
    description=(
        "Sends IP-in-UDP packets to the fabric, or sprays them over entries if --to is "
        "repeated, and receives the responses at --listen, the `fabric` address from the "
        "instances' settings. The upstreams must respond with their name followed by the "
        "request, as the stand-in of the demo does. Writes an HDR histogram of the latencies, a "
        "summary, the figures of each second and a plot."
    ),
    epilog=(
        "Example: chicory-load 198.51.100.1:443 --to 127.0.0.1:6080 --listen 127.0.0.9:6080 "
        "--rate 50 --count 1000 --seconds 30 --out run/\n\n"
        "Exit codes: 0 every flow was answered in full, 1 some flow broke or got no answer, "
        "2 usage error, 130 interrupted by Ctrl-C."
    ),
)
@dataclass
class LoadOptions:
    """Command-line options."""

    service: Annotated[str, cappa.Arg(help="IP:PORT that the callers connect to.")]
    to: Annotated[
        list[str],
        cappa.Arg(
            long=True,
            num_args=1,
            action=cappa.ArgAction.append,
            required=True,
            value_name="IP:PORT",
            help="Address of the fabric, or `data` address of an entry; may be repeated.",
        ),
    ]
    listen: Annotated[str, cappa.Arg(long=True, help="IP:PORT that receives the responses.")] = (
        "127.0.0.1:6081"
    )
    rate: Annotated[float, cappa.Arg(long=True, help="Flows opened per second.")] = 50.0
    count: Annotated[int, cappa.Arg(long=True, help="Number of flows.")] = 500
    seconds: Annotated[
        float, cappa.Arg(long=True, help="Maximum duration of the run in seconds.")
    ] = 30.0
    requests: Annotated[int, cappa.Arg(long=True, help="Number of requests per flow.")] = 3
    interval: Annotated[
        float, cappa.Arg(long=True, help="Seconds between two requests of a flow.")
    ] = 0.5
    payload: Annotated[int, cappa.Arg(long=True, help="Size of a request in bytes.")] = 64
    seed: Annotated[
        int, cappa.Arg(long=True, help="Random seed of packet spraying and payloads.")
    ] = 1
    out: Annotated[Path, cappa.Arg(long=True, help="Folder to write the files to.")] = Path(
        "chicory-load"
    )
    svg: Annotated[bool, cappa.Arg(long=True, help="Write the plot as SVG instead of PNG.")] = False
    beyond_loopback: Annotated[
        bool,
        cappa.Arg(
            long=True,
            help="Allow --to and --listen outside loopback (127.0.0.0/8 and ::1).",
        ),
    ] = False


def main(argv: Sequence[str] | None = None) -> int:
    """Run the program.

    :param argv: arguments without the program name; default: those of the process.
    :returns: an ``ExitCode``.
    """
    options = cappa.parse(LoadOptions, argv=None if argv is None else list(argv), version=VERSION)
    try:
        plan = create_plan(options)
        record = asyncio.run(run_load(plan))
        write_results(record, options)
    except ChicoryError as error:
        error.show()
        return ExitCode.USAGE_ERROR
    except OSError as error:
        UsageError(str(error)).show()
        return ExitCode.USAGE_ERROR
    except KeyboardInterrupt:
        return ExitCode.INTERRUPTED
    summary = record.summarize()
    print(_format_summary(summary))
    return ExitCode.BROKEN if summary.broken or not summary.answered else ExitCode.SUCCESS


def create_plan(options: LoadOptions) -> LoadPlan:
    """Build a plan from the options.

    :raises UsageError: listing all invalid options.
    """
    errors: list[str] = []
    plan = LoadPlan(
        tuple(
            _parse_endpoint(argument, errors, options.beyond_loopback) for argument in options.to
        ),
        _parse_endpoint(options.listen, errors, options.beyond_loopback),
        _parse_endpoint(options.service, errors, True),
        options.rate,
        options.count,
        options.seconds,
        options.requests,
        options.interval,
        options.payload,
        options.seed,
    )
    errors += list_plan_errors(plan)
    if errors:
        raise UsageError("\n".join(errors))
    return plan


def write_results(record: LoadRecord, options: LoadOptions) -> None:
    """Write the result files of a run."""
    options.out.mkdir(parents=True, exist_ok=True)
    record.write_histogram(options.out / HISTOGRAM_NAME)
    intervals = record.list_intervals()
    summary = record.summarize()
    (options.out / SUMMARY_NAME).write_bytes(msgspec.json.encode(summary))
    (options.out / INTERVALS_NAME).write_bytes(msgspec.json.encode(intervals))
    title = f"{options.service}: {options.count} flows at {options.rate:g}/s"
    suffix = "svg" if options.svg else "png"
    draw_load(intervals, title, options.out / f"{PLOT_STEM}.{suffix}")


def _parse_endpoint(argument: str, errors: list[str], allows_remote: bool) -> Endpoint:
    endpoint = parse_endpoint(argument)
    if isinstance(endpoint, EndpointProblem):
        errors.append(f"{argument}: {endpoint.value}")
        return Endpoint("", 0)
    if not allows_remote and not ipaddress.ip_address(endpoint.host).is_loopback:
        errors.append(f"{argument} isn't on loopback; pass --beyond-loopback to allow it")
    return endpoint


def _format_summary(summary: LoadSummary) -> str:
    ends = ", ".join(f"{count} {end.value}" for end, count in sorted(summary.ends.items(), key=str))
    latency = summary.latency
    latency_text = (
        f"median {latency.median_ms:.2f} ms, 99th percentile {latency.p99_ms:.2f} ms, "
        f"highest {latency.highest_ms:.2f} ms"
        if latency is not None
        else "none"
    )
    openings = ", ".join(f"{name} {count}" for name, count in summary.openings.items())
    return (
        f"flows: {ends or 'none'}\nrequests answered in full: {summary.answered}\n"
        f"latency: {latency_text}\nopenings: {openings or 'none'}\n"
        f"imbalance: {summary.imbalance:.2f}"
    )


if __name__ == "__main__":
    sys.exit(main())

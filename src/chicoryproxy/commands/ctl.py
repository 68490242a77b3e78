"""``chicory-ctl``: shows the state of instances and explains routing decisions."""

import asyncio
import sys
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import IntEnum, unique
from pathlib import Path
from typing import Annotated

import cappa
import msgspec
from rich.console import Console
from rich.live import Live

from chicoryproxy.address import EndpointProblem, format_endpoint, parse_endpoint
from chicoryproxy.commands.console import create_console
from chicoryproxy.commands.ctlreport import build_state
from chicoryproxy.commands.explanationtext import describe_explanation
from chicoryproxy.commands.trace import trace_caller, trace_request
from chicoryproxy.configuration.options import VERSION
from chicoryproxy.errors import ChicoryError
from chicoryproxy.model import Endpoint
from chicoryproxy.processes.controlclient import (
    ExplanationReport,
    InstanceReport,
    Unanswered,
    fetch_explanations,
    fetch_states,
)
from chicoryproxy.routing.flowname import FlowName, FlowNameFault, parse_flow

_EXIT_CODES_HELP = (
    "Exit codes: 0 all processes answered, 1 some process did not answer, "
    "2 usage error, 130 interrupted by Ctrl-C."
)


@unique
class ExitCode(IntEnum):
    """Exit codes of ``chicory-ctl``."""

    ANSWERED = 0
    UNANSWERED = 1
    USAGE_ERROR = 2
    INTERRUPTED = 130


class UsageError(ChicoryError):
    """An argument is invalid, or a file can't be read."""


@cappa.command(
    name="trace",
    help="Trace a request, or the flows of a caller, through the logs of entries.",
    epilog=(
        "Example: chicory-ctl trace 5d62046c9d00a1b2 --log entry-1.log --log entry-2.log\n\n"
        "Example: chicory-ctl trace --caller 100.66.0.16 < entries.log\n\n"
        "Exit codes: 0 found, 1 no matching log line, 2 usage error."
    ),
)
@dataclass
class TraceCommand:
    """Prints the log lines that belong to a request or to the flows of a caller."""

    request: Annotated[str, cappa.Arg(help="Id of the request (X-Request-Id).")] = ""
    caller: Annotated[
        str,
        cappa.Arg(
            long=True,
            value_name="HOST[:PORT]",
            help="Address of the caller, if no request id was logged.",
        ),
    ] = ""
    log: Annotated[
        list[str],
        cappa.Arg(
            long=True,
            value_name="FILE",
            num_args=1,
            action=cappa.ArgAction.append,
            help="Log file of one or more entries; may be repeated; default: standard input.",
        ),
    ] = field(default_factory=list)

    async def run(self, console: Console) -> ExitCode:
        """Read the logs and print the trace."""
        if bool(self.request) == bool(self.caller):
            raise UsageError("give either a request id or --caller")
        log_lines = self._read_log_lines()
        if self.request:
            trace = trace_request(log_lines, self.request)
        else:
            trace = trace_caller(log_lines, self.caller)
        for line in trace.lines:
            console.print(line.format(), soft_wrap=True)
        if trace.lines:
            return ExitCode.ANSWERED
        console.print(
            "no matching log line; use --caller to find refused openings, which carry no request id"
        )
        return ExitCode.UNANSWERED

    def _read_log_lines(self) -> list[str]:
        if not self.log:
            return sys.stdin.read().splitlines()
        log_lines: list[str] = []
        for name in self.log:
            try:
                log_lines.extend(Path(name).read_text(errors="replace").splitlines())
            except OSError as error:
                raise UsageError(f"{name}: {error.strerror}") from error
        return log_lines


_ControlsArgument = Annotated[
    list[str],
    cappa.Arg(
        value_name="CONTROL",
        num_args=-1,
        required=True,
        help="`control` addresses from the instances' settings, such as 127.0.0.1:7105.",
    ),
]
_JsonOption = Annotated[bool, cappa.Arg(long="--json", help="Print JSON instead of tables.")]


@cappa.command(
    name="state",
    help="Show versions, members, upstreams with evidence, contested slots and refusals.",
    epilog=f"Example: chicory-ctl state 127.0.0.1:7105 127.0.0.2:7105\n\n{_EXIT_CODES_HELP}",
)
@dataclass
class StateCommand:
    """Shows the current state of instances."""

    controls: _ControlsArgument
    as_json: _JsonOption = False

    async def run(self, console: Console) -> ExitCode:
        """Query the instances and print their state."""
        reports = await fetch_states(_parse_endpoints(self.controls))
        if self.as_json:
            _print_json(reports)
        else:
            console.print(build_state(reports))
        return _choose_exit_code(reports)


@cappa.command(
    name="explain",
    help="Explain step by step how a flow is routed.",
    epilog=(
        "Example: chicory-ctl explain tcp 10.0.0.1:1024 198.51.100.1:443 --at 127.0.0.1:7105\n\n"
        f"{_EXIT_CODES_HELP}"
    ),
)
@dataclass
class ExplainCommand:
    """Explains how the entries of instances route a flow."""

    protocol: Annotated[str, cappa.Arg(help="tcp or udp.")]
    caller: Annotated[str, cappa.Arg(help="IP:PORT of the caller.")]
    service: Annotated[str, cappa.Arg(help="IP:PORT that the caller connects to.")]
    at: Annotated[
        list[str],
        cappa.Arg(
            long=True,
            value_name="CONTROL",
            num_args=1,
            action=cappa.ArgAction.append,
            required=True,
            help="`control` address from an instance's settings; may be repeated.",
        ),
    ]
    as_json: _JsonOption = False

    async def run(self, console: Console) -> ExitCode:
        """Query the instances and print their explanations."""
        flow = _parse_flow(f"{self.protocol} {self.caller} {self.service}")
        reports = await fetch_explanations(_parse_endpoints(self.at), flow)
        if self.as_json:
            _print_json(reports)
        else:
            _print_explanations(console, reports)
        is_answered = not any(isinstance(item.explanation, Unanswered) for item in reports)
        return ExitCode.ANSWERED if is_answered else ExitCode.UNANSWERED


@cappa.command(
    name="top",
    help="Show the state continuously until Ctrl-C.",
    epilog=f"Example: chicory-ctl top 127.0.0.1:7105 --interval 2\n\n{_EXIT_CODES_HELP}",
)
@dataclass
class TopCommand:
    """Shows the state of instances continuously."""

    controls: _ControlsArgument
    interval: Annotated[float, cappa.Arg(long=True, help="Seconds between two queries.")] = 1.0
    rounds: Annotated[
        int, cappa.Arg(long=True, help="Number of queries; 0 repeats until Ctrl-C.")
    ] = 0

    async def run(self, console: Console) -> ExitCode:
        """Query the instances repeatedly and show their state."""
        if self.interval <= 0 or self.rounds < 0:
            raise UsageError("--interval must be above 0, and --rounds 0 or above")
        endpoints = _parse_endpoints(self.controls)
        reports = await fetch_states(endpoints)
        asked = 1
        with Live(build_state(reports), console=console, auto_refresh=False) as live:
            while asked != self.rounds:
                await asyncio.sleep(self.interval)
                reports = await fetch_states(endpoints)
                live.update(build_state(reports), refresh=True)
                asked += 1
        return _choose_exit_code(reports)


@cappa.command(
    name="chicory-ctl",
    help="Show the state of instances and explain how flows are routed.",
    epilog=f"Example: chicory-ctl state 127.0.0.1:7105\n\n{_EXIT_CODES_HELP}",
)
@dataclass
class CtlOptions:
    """Command-line options."""

    command: cappa.Subcommands[StateCommand | ExplainCommand | TopCommand | TraceCommand]


def main(argv: Sequence[str] | None = None) -> int:
    """Run the program.

    :param argv: arguments without the program name; default: those of the process.
    :returns: an ``ExitCode``.
    """
    options = cappa.parse(CtlOptions, argv=None if argv is None else list(argv), version=VERSION)
    console = create_console()
    try:
        return asyncio.run(options.command.run(console))
    except ChicoryError as error:
        error.show()
        return ExitCode.USAGE_ERROR
    except KeyboardInterrupt:
        return ExitCode.INTERRUPTED


def _parse_endpoints(texts: Sequence[str]) -> list[Endpoint]:
    endpoints = []
    errors = []
    for text in texts:
        endpoint = parse_endpoint(text)
        if isinstance(endpoint, EndpointProblem):
            errors.append(f"{text}: {endpoint.value}; expected an address such as 127.0.0.1:7105")
        else:
            endpoints.append(endpoint)
    if errors:
        raise UsageError("\n".join(errors))
    return endpoints


def _parse_flow(text: str) -> FlowName:
    flow = parse_flow(text)
    if isinstance(flow, FlowNameFault):
        raise UsageError(flow.value)
    return flow


def _choose_exit_code(reports: Sequence[InstanceReport]) -> ExitCode:
    states = [state for report in reports for state in (report.view, report.entry)]
    is_answered = not any(isinstance(state, Unanswered) for state in states)
    return ExitCode.ANSWERED if is_answered else ExitCode.UNANSWERED


def _print_explanations(console: Console, reports: Sequence[ExplanationReport]) -> None:
    for report in reports:
        console.print(f"as seen at {format_endpoint(report.control)}:")
        if isinstance(report.explanation, Unanswered):
            lines = [f"no answer: {report.explanation.reason}"]
        else:
            lines = describe_explanation(report.explanation)
        for number, line in enumerate(lines, 1):
            console.print(f"  {number}. {line}")


def _print_json(reports: Sequence[InstanceReport | ExplanationReport]) -> None:
    print(msgspec.json.format(msgspec.json.encode(reports), indent=2).decode())


if __name__ == "__main__":
    sys.exit(main())

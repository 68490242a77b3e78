"""``chicory-ctl``: shows the state of instances, and why a flow goes where it goes."""

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

from chicoryproxy.address import AddressFault, format_endpoint, parse_endpoint
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

WIDTH = 240
_EXITS = (
    "Exit codes: 0 every process answered, 1 some process did not answer, "
    "2 wrong use, 130 ended by Ctrl-C."
)


@unique
class ExitCode(IntEnum):
    """How a question ended."""

    ANSWERED = 0
    UNANSWERED = 1
    WRONG_USE = 2
    INTERRUPTED = 130


class UsageError(ChicoryError):
    """The command was given something that it can't work with."""


@cappa.command(
    name="trace",
    help="Follow a request, or the flows of a caller, through the log lines of entries.",
    epilog=(
        "Example: chicory-ctl trace 5d62046c9d00a1b2 --log entry-1.log --log entry-2.log\n\n"
        "Example: chicory-ctl trace --caller 100.66.0.16 < entries.log\n\n"
        "Exit codes: 0 found, 1 no line names it, 2 wrong use."
    ),
)
@dataclass
class TraceCommand:
    """Prints the lines that explain what became of a request."""

    request: Annotated[str, cappa.Arg(help="Id of the request, X-Request-Id.")] = ""
    caller: Annotated[
        str,
        cappa.Arg(long=True, value_name="HOST[:PORT]", help="Caller, where no id was logged."),
    ] = ""
    log: Annotated[
        list[str],
        cappa.Arg(
            long=True,
            value_name="FILE",
            num_args=1,
            action=cappa.ArgAction.append,
            help="Log of one or more entries; standard input if none is given.",
        ),
    ] = field(default_factory=list)

    async def run(self, console: Console) -> ExitCode:
        """Read the logs and print the trace."""
        if bool(self.request) == bool(self.caller):
            raise UsageError("give either the id of a request or --caller")
        texts = self._read_texts()
        if self.request:
            trace = trace_request(texts, self.request)
        else:
            trace = trace_caller(texts, self.caller)
        for line in trace.lines:
            console.print(line.format(), soft_wrap=True)
        if trace.lines:
            return ExitCode.ANSWERED
        console.print("no line names it; an opening that was refused is found by --caller")
        return ExitCode.UNANSWERED

    def _read_texts(self) -> list[str]:
        if not self.log:
            return sys.stdin.read().splitlines()
        texts: list[str] = []
        for name in self.log:
            try:
                texts.extend(Path(name).read_text(errors="replace").splitlines())
            except OSError as error:
                raise UsageError(f"{name}: {error.strerror}") from error
        return texts


_CONTROLS = Annotated[
    list[str],
    cappa.Arg(
        value_name="CONTROL",
        num_args=-1,
        required=True,
        help="`control` addresses of the instances' settings, such as 127.0.0.1:7105.",
    ),
]
_JSON = Annotated[bool, cappa.Arg(long="--json", help="Print JSON in place of tables.")]


@cappa.command(
    name="state",
    help="Show versions, members, upstreams with evidence, contested slots and refusals.",
    epilog=f"Example: chicory-ctl state 127.0.0.1:7105 127.0.0.2:7105\n\n{_EXITS}",
)
@dataclass
class StateCommand:
    """Shows the state of instances once."""

    controls: _CONTROLS
    as_json: _JSON = False

    async def run(self, console: Console) -> ExitCode:
        """Ask and print."""
        reports = await fetch_states(_read_endpoints(self.controls))
        if self.as_json:
            _print_json(reports)
        else:
            console.print(build_state(reports))
        return _rate_states(reports)


@cappa.command(
    name="explain",
    help="Tell step by step why a flow goes where it goes.",
    epilog=(
        "Example: chicory-ctl explain tcp 10.0.0.1:1024 198.51.100.1:443 --at 127.0.0.1:7105\n\n"
        f"{_EXITS}"
    ),
)
@dataclass
class ExplainCommand:
    """Explains a flow as the entries of instances see it."""

    protocol: Annotated[str, cappa.Arg(help="tcp or udp.")]
    caller: Annotated[str, cappa.Arg(help="IP:PORT of the caller.")]
    service: Annotated[str, cappa.Arg(help="IP:PORT that the caller speaks to.")]
    at: Annotated[
        list[str],
        cappa.Arg(
            long=True,
            value_name="CONTROL",
            num_args=1,
            action=cappa.ArgAction.append,
            required=True,
            help="`control` address of an instance's settings; may be repeated.",
        ),
    ]
    as_json: _JSON = False

    async def run(self, console: Console) -> ExitCode:
        """Ask and print."""
        flow = _read_flow(f"{self.protocol} {self.caller} {self.service}")
        reports = await fetch_explanations(_read_endpoints(self.at), flow)
        if self.as_json:
            _print_json(reports)
        else:
            _print_explanations(console, reports)
        is_answered = not any(isinstance(item.explanation, Unanswered) for item in reports)
        return ExitCode.ANSWERED if is_answered else ExitCode.UNANSWERED


@cappa.command(
    name="top",
    help="Show the state again and again until Ctrl-C.",
    epilog=f"Example: chicory-ctl top 127.0.0.1:7105 --interval 2\n\n{_EXITS}",
)
@dataclass
class TopCommand:
    """Shows the state of instances live."""

    controls: _CONTROLS
    interval: Annotated[float, cappa.Arg(long=True, help="Seconds between two questions.")] = 1.0
    rounds: Annotated[
        int, cappa.Arg(long=True, help="Number of questions; 0 asks until Ctrl-C.")
    ] = 0

    async def run(self, console: Console) -> ExitCode:
        """Ask and show, again and again."""
        if self.interval <= 0 or self.rounds < 0:
            raise UsageError("--interval must be above zero, --rounds zero or above")
        endpoints = _read_endpoints(self.controls)
        reports = await fetch_states(endpoints)
        asked = 1
        with Live(build_state(reports), console=console, auto_refresh=False) as live:
            while asked != self.rounds:
                await asyncio.sleep(self.interval)
                reports = await fetch_states(endpoints)
                live.update(build_state(reports), refresh=True)
                asked += 1
        return _rate_states(reports)


@cappa.command(
    name="chicory-ctl",
    help="Show the state of instances, and why a flow goes where it goes.",
    epilog=f"Example: chicory-ctl state 127.0.0.1:7105\n\n{_EXITS}",
)
@dataclass
class CtlOptions:
    """The command line."""

    command: cappa.Subcommands[StateCommand | ExplainCommand | TopCommand | TraceCommand]


def main(argv: Sequence[str] | None = None) -> int:
    """Run the program.

    :param argv: arguments without the program's name; those of the process if not given.
    :returns: an ``ExitCode``.
    """
    options = cappa.parse(CtlOptions, argv=None if argv is None else list(argv), version=VERSION)
    console = Console(width=None if sys.stdout.isatty() else WIDTH, highlight=False, markup=False)
    try:
        return asyncio.run(options.command.run(console))
    except ChicoryError as error:
        error.show()
        return ExitCode.WRONG_USE
    except KeyboardInterrupt:
        return ExitCode.INTERRUPTED


def _read_endpoints(texts: Sequence[str]) -> list[Endpoint]:
    endpoints = []
    faults = []
    for text in texts:
        endpoint = parse_endpoint(text)
        if isinstance(endpoint, AddressFault):
            faults.append(f"{text}: {endpoint.value}; write it as 127.0.0.1:7105")
        else:
            endpoints.append(endpoint)
    if faults:
        raise UsageError("\n".join(faults))
    return endpoints


def _read_flow(text: str) -> FlowName:
    flow = parse_flow(text)
    if isinstance(flow, FlowNameFault):
        raise UsageError(flow.value)
    return flow


def _rate_states(reports: Sequence[InstanceReport]) -> ExitCode:
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

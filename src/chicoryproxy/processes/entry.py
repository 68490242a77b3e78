"""``chicory-entry``: the data-plane process of an instance."""

import sys
from collections.abc import Sequence
from dataclasses import dataclass

import cappa

from chicoryproxy.configuration.options import InstanceOptions, parse_settings
from chicoryproxy.configuration.settings import Settings
from chicoryproxy.errors import SettingsError
from chicoryproxy.model import Endpoint
from chicoryproxy.network.seal import Channel
from chicoryproxy.processes.entrydriver import REPORT_INTERVAL_S, TICK_S, EntryDriver
from chicoryproxy.processes.operations import OperationsServer
from chicoryproxy.processes.process import ProcessContext
from chicoryproxy.processes.supervisor import Child, ExitCode, Supervisor, run_process
from chicoryproxy.processes.ticker import Ticker
from chicoryproxy.routing.router import create_packet_core
from chicoryproxy.telemetry.logs import EXIT_FLUSH_TIMEOUT_S
from chicoryproxy.telemetry.metrics import FLUSH_INTERVAL_S

LOG_INTERVAL_S = 0.02
CONTROL_PORT_OFFSET = 1
"""The view listens on the configured control port, the entry on that port plus this offset."""


@cappa.command(
    name="chicory-entry",
    help="Forward packets from callers to upstreams.",
    description=(
        "Example: `chicory-entry --settings /etc/chicory/instance.yaml --log-format human`. "
        "Exit codes: 0 after a graceful stop, 1 when an essential service failed too often, 2 when "
        "the settings are invalid, 143 when a second signal forced an immediate exit."
    ),
)
@dataclass
class EntryOptions(InstanceOptions):
    """Command-line options of ``chicory-entry``."""


def create_children(
    driver: EntryDriver, context: ProcessContext, settings: Settings
) -> list[Child]:
    """Return the services that the supervisor runs."""
    control = Endpoint(settings.control.host, settings.control.port + CONTROL_PORT_OFFSET)
    return [
        Child("data", lambda: driver.data, is_essential=True),
        Child("peers", lambda: driver.peers, is_essential=True),
        Child("tick", lambda: Ticker(TICK_S, driver.tick), is_essential=True),
        Child("link", lambda: driver.link),
        Child("report", lambda: Ticker(REPORT_INTERVAL_S, driver.report)),
        Child("log", lambda: Ticker(LOG_INTERVAL_S, lambda: driver.flush_log(context.output))),
        Child(
            "metrics",
            lambda: Ticker(FLUSH_INTERVAL_S, lambda: driver.flush_metrics(context.output)),
        ),
        Child("operations", lambda: OperationsServer(control, driver.describe, driver.explain)),
    ]


def run_entry(settings: Settings) -> ExitCode:
    """Run the process until a signal stops it.

    :raises SettingsError: if a key file is unreadable or holds an invalid key.
    """
    context = ProcessContext(settings, Channel.PEER)
    core = create_packet_core(settings.instance, settings.domain, settings.region)
    driver = EntryDriver(core, settings, context.create_transport, context.metrics, context.seed)

    def create_supervisor() -> Supervisor:
        return Supervisor(create_children(driver, context, settings), context.metrics, context.seed)

    code = run_process("chicory-entry", create_supervisor, driver.drain)
    driver.route_log.flush(len(driver.route_log))
    context.output.drain(EXIT_FLUSH_TIMEOUT_S)
    return code


def main(argv: Sequence[str] | None = None) -> None:
    """Run ``chicory-entry`` and exit."""
    settings = parse_settings(EntryOptions, argv)
    if settings is None:
        sys.exit(ExitCode.INVALID_SETTINGS)
    try:
        sys.exit(run_entry(settings))
    except SettingsError as error:
        error.show()
        sys.exit(ExitCode.INVALID_SETTINGS)


if __name__ == "__main__":
    main()

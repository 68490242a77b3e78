"""``chicory-view``: the control-plane process of an instance."""

import sys
from collections.abc import Sequence
from dataclasses import dataclass

import cappa

from chicoryproxy.configuration.options import InstanceOptions, parse_settings
from chicoryproxy.configuration.settings import Settings
from chicoryproxy.control.core import create_control_core
from chicoryproxy.errors import SettingsError
from chicoryproxy.model import Instance
from chicoryproxy.network.seal import Channel
from chicoryproxy.processes.operations import OperationsServer
from chicoryproxy.processes.process import ProcessContext
from chicoryproxy.processes.supervisor import Child, ExitCode, Supervisor, run_process
from chicoryproxy.processes.ticker import Ticker
from chicoryproxy.processes.viewdriver import TICK_S, ViewDriver
from chicoryproxy.telemetry.logs import EXIT_FLUSH_TIMEOUT_S
from chicoryproxy.telemetry.metrics import FLUSH_INTERVAL_S

LOG_INTERVAL_S = 0.05


@cappa.command(
    name="chicory-view",
    help="Read the platform, exchange state with peers and send the entry its view.",
    description=(
        "Example: `chicory-view --settings /etc/chicory/instance.yaml --log-format human`. "
        "Exit codes: 0 after a graceful stop, 1 when an essential service failed too often, 2 when "
        "the settings are invalid, 143 when a second signal forced an immediate exit."
    ),
)
@dataclass
class ViewOptions(InstanceOptions):
    """Command-line options of ``chicory-view``."""


def create_instance(settings: Settings) -> Instance:
    """Return this instance in the form of the platform's instance list."""
    return Instance(
        settings.instance,
        settings.domain,
        settings.region,
        settings.data,
        settings.peer,
        settings.view,
    )


def create_children(driver: ViewDriver, context: ProcessContext, settings: Settings) -> list[Child]:
    """Return the services that the supervisor runs."""
    return [
        Child("peers", lambda: driver.peers, is_essential=True),
        Child("link", lambda: driver.link, is_essential=True),
        Child("tick", lambda: Ticker(TICK_S, driver.tick), is_essential=True),
        Child("readings", lambda: driver.readings, is_essential=True),
        Child(
            "metrics",
            lambda: Ticker(FLUSH_INTERVAL_S, lambda: driver.flush_metrics(context.output)),
        ),
        Child("log", lambda: Ticker(LOG_INTERVAL_S, context.output.drain)),
        Child("operations", lambda: OperationsServer(settings.control, driver.describe)),
    ]


def run_view(settings: Settings) -> ExitCode:
    """Run the process until a signal stops it.

    :raises SettingsError: if a key file is unreadable or holds an invalid key.
    """
    context = ProcessContext(settings, Channel.VIEW)
    core = create_control_core(create_instance(settings), context.seed)
    driver = ViewDriver(core, settings, context.create_transport, context.metrics, context.seed)

    def create_supervisor() -> Supervisor:
        return Supervisor(create_children(driver, context, settings), context.metrics, context.seed)

    code = run_process("chicory-view", create_supervisor, driver.drain)
    context.output.drain(EXIT_FLUSH_TIMEOUT_S)
    return code


def main(argv: Sequence[str] | None = None) -> None:
    """Run ``chicory-view`` and exit."""
    settings = parse_settings(ViewOptions, argv)
    if settings is None:
        sys.exit(ExitCode.INVALID_SETTINGS)
    try:
        sys.exit(run_view(settings))
    except SettingsError as error:
        error.show()
        sys.exit(ExitCode.INVALID_SETTINGS)


if __name__ == "__main__":
    main()

"""I/O driver of the control core: executes its actions on the platform, peers and the link."""

import asyncio
import time
from collections.abc import Callable, Iterable, Sequence
from typing import Protocol

from chicoryproxy.configuration.settings import Settings
from chicoryproxy.control.core import ControlDescription
from chicoryproxy.ids import InstanceId, Version
from chicoryproxy.model import Endpoint, Instance
from chicoryproxy.network import codec
from chicoryproxy.network.codec import DecodeProblem
from chicoryproxy.network.link import LinkServer
from chicoryproxy.network.transport import TransportFactory
from chicoryproxy.processes.platformclient import Reading
from chicoryproxy.processes.processstate import ViewState
from chicoryproxy.processes.readings import ReadingService
from chicoryproxy.protocol.actions import (
    ControlAction,
    LogControl,
    ReadHealth,
    SendToView,
    StopWatching,
    UpdateEntry,
    WatchPlatform,
)
from chicoryproxy.protocol.events import InstancesRead
from chicoryproxy.protocol.messages import EntryReport, VersionBody, ViewMessage, ViewUpdate
from chicoryproxy.telemetry.logs import OutputHandler, PartLogger, log_control
from chicoryproxy.telemetry.metrics import Metric, Metrics

TICK_S = 0.05
DRAIN_POLL_S = 0.05
PART = "view"


class ControlCore(Protocol):
    """The interface of ``control.ControlCore`` that the driver uses."""

    def receive_reading(self, event: Reading, now: float) -> Sequence[ControlAction]: ...

    def receive_message(
        self, sender: InstanceId, message: ViewMessage, now: float
    ) -> Sequence[ControlAction]: ...

    def receive_report(self, report: EntryReport, now: float) -> Sequence[ControlAction]: ...

    def tick(self, now: float) -> Sequence[ControlAction]: ...

    def begin_leaving(self, now: float) -> Sequence[ControlAction]: ...

    def may_stop(self, now: float) -> bool: ...

    def describe(self) -> ControlDescription: ...


class ViewDriver:
    """Passes readings, messages and ticks to the control core and executes its actions.

    An exception is counted and logged; the remaining actions of that event are skipped.

    :param core: makes the control-plane decisions.
    :param settings: settings of the instance.
    :param create_transport: creates the transport for messages between views.
    :param seed: seed of the retry jitter.
    """

    def __init__(
        self,
        core: ControlCore,
        settings: Settings,
        create_transport: TransportFactory,
        metrics: Metrics,
        seed: int,
    ) -> None:
        self.metrics = metrics
        self.peers = create_transport(self.receive_message)
        self.link = LinkServer(settings.link, self.receive_report, metrics)
        self.readings = ReadingService(settings.platform, self.receive_reading, metrics, seed)
        self._core = core
        self._settings = settings
        self._clock = time.monotonic
        self._log = PartLogger(PART)
        self._is_leaving = False
        self._update: ViewUpdate | None = None
        self._addresses: dict[InstanceId, Endpoint] = {}

    def receive_reading(self, event: Reading) -> None:
        """Handle a reading of the platform or of an upstream's health endpoint."""
        if isinstance(event, InstancesRead):
            self._add_addresses(event.instances)
        self._dispatch(lambda now: self._core.receive_reading(event, now))

    def receive_message(self, sender: InstanceId, body: bytes) -> None:
        """Handle a message that the transport accepted from a peer."""
        message = codec.decode_view_message(body)
        if isinstance(message, DecodeProblem):
            self.metrics.count(Metric.PEER_UNDECODED, label=message.value)
            return
        if isinstance(message, VersionBody):
            self._add_addresses(message.instances)
        self._dispatch(lambda now: self._core.receive_message(sender, message, now))

    def receive_report(self, report: EntryReport) -> None:
        """Handle a report from the entry."""
        self._dispatch(lambda now: self._core.receive_report(report, now))

    def tick(self) -> None:
        """Run the core's due timers."""
        self._dispatch(self._core.tick)

    def flush_metrics(self, output: OutputHandler | None = None) -> None:
        """Update the counters and gauges and send their changes."""
        self.metrics.set_gauge(Metric.VIEW_VERSION, self._get_version())
        self.metrics.set_total(Metric.LOG_LOST, output.lost if output else 0)
        self.metrics.flush()

    async def drain(self) -> None:
        """Leave the fleet: serve until the core may stop or the drain timeout expires."""
        self._is_leaving = True
        deadline = self._clock() + self._settings.drain_timeout_s
        self._dispatch(self._core.begin_leaving)
        while not self._core.may_stop(self._clock()):
            if self._clock() >= deadline:
                self._log.warning("Drain timeout expired.")
                return
            await asyncio.sleep(DRAIN_POLL_S)

    def describe(self) -> ViewState:
        """Return the state that the control endpoint serves."""
        return ViewState(
            self._settings.instance,
            self._is_leaving,
            self.link.is_connected,
            self._get_version(),
            self.metrics.get_totals(),
            self._core.describe(),
        )

    def _get_version(self) -> Version:
        return self._update.configuration.version if self._update else Version(0)

    def _dispatch(self, call: Callable[[float], Iterable[ControlAction]]) -> None:
        try:
            for action in call(self._clock()):
                self._execute(action)
        except Exception:
            self.metrics.count(Metric.CORE_FAULTS)
            self._log.error("Control core raised an exception; event ignored.", exc_info=True)

    def _execute(self, action: ControlAction) -> None:
        if isinstance(action, SendToView):
            self.peers.send(action.instance, codec.encode(action.message))
        elif isinstance(action, UpdateEntry):
            self._update = action.update
            self._add_addresses(member.instance for member in action.update.members)
            self.link.publish(action.update)
        elif isinstance(action, WatchPlatform):
            self.readings.watch(action.after)
        elif isinstance(action, StopWatching):
            self.readings.stop_watching()
        elif isinstance(action, ReadHealth):
            self.readings.read_health(action.upstream, action.url)
        elif isinstance(action, LogControl):
            log_control(action)

    def _add_addresses(self, instances: Iterable[Instance]) -> None:
        """Add the addresses of the instances' views to the known peers."""
        addresses = {instance.id: instance.view for instance in instances}
        if addresses.items() <= self._addresses.items():
            return
        self._addresses |= addresses
        self.peers.set_peers(dict(self._addresses))

"""I/O driver of the packet core: executes its actions on sockets, the link and the log."""

import asyncio
import time
from collections import Counter
from collections.abc import Iterable, Sequence
from typing import Protocol

from chicoryproxy.configuration.settings import Settings
from chicoryproxy.ids import InstanceId, Version
from chicoryproxy.model import Endpoint
from chicoryproxy.network import codec
from chicoryproxy.network.codec import DecodeProblem
from chicoryproxy.network.datasocket import Address, DataSocket
from chicoryproxy.network.link import LinkClient
from chicoryproxy.network.transport import TransportFactory
from chicoryproxy.processes.processstate import EntryState
from chicoryproxy.protocol.actions import (
    Drop,
    Forward,
    ForwardHeld,
    LogRoute,
    PacketAction,
    Return,
    ReturnPacket,
    SendToPeer,
)
from chicoryproxy.protocol.messages import EntryMessage, EntryReport, PassedPacket, ViewUpdate
from chicoryproxy.routing.description import EntryDescription
from chicoryproxy.routing.explanation import Explanation
from chicoryproxy.routing.flowname import FlowName
from chicoryproxy.states import DropReason, RefusalReason
from chicoryproxy.telemetry.logs import OutputHandler, PartLogger, RouteLog
from chicoryproxy.telemetry.metrics import Metric, Metrics

TICK_S = 0.02
DRAIN_POLL_S = 0.05
REPORT_INTERVAL_S = 0.25
PART = "entry"


class PacketCore(Protocol):
    """The interface of ``router.PacketCore`` that the driver uses."""

    def receive_packet(
        self, data: bytes, source: tuple[str, int], now: float
    ) -> Sequence[PacketAction]: ...

    def receive_message(
        self, sender: InstanceId, message: EntryMessage, now: float
    ) -> Sequence[PacketAction]: ...

    def update_view(self, update: ViewUpdate, now: float) -> Sequence[PacketAction]: ...

    def tick(self, now: float) -> Sequence[PacketAction]: ...

    def begin_leaving(self, now: float) -> Sequence[PacketAction]: ...

    def may_stop(self, now: float) -> bool: ...

    def collect_report(self) -> EntryReport: ...

    def describe(self) -> EntryDescription: ...

    def explain(self, flow: FlowName, now: float) -> Explanation: ...


class EntryDriver:
    """Passes packets, messages and ticks to the packet core and executes its actions.

    An exception of the core is counted and logged; only the input that raised it is lost.

    :param core: makes the routing decisions.
    :param settings: settings of the instance.
    :param create_transport: creates the transport for messages between entries.
    :param seed: seed of the retry jitter.
    """

    def __init__(
        self,
        core: PacketCore,
        settings: Settings,
        create_transport: TransportFactory,
        metrics: Metrics,
        seed: int,
    ) -> None:
        self.metrics = metrics
        self.route_log = RouteLog(settings.log_sample)
        self.data = DataSocket(settings.data, self.receive_packet)
        self.peers = create_transport(self.receive_message)
        self.link = LinkClient(settings.link, self.receive_update, metrics, seed)
        self._core = core
        self._settings = settings
        self._fabric = (settings.fabric.host, settings.fabric.port)
        self._clock = time.monotonic
        self._log = PartLogger(PART)
        self._is_leaving = False
        self._view: ViewUpdate | None = None
        self._packets_in = 0
        self._forwarded = 0
        self._returned = 0
        self._resets_sent = 0
        self._dropped: Counter[DropReason] = Counter()
        self._refused: Counter[RefusalReason] = Counter()

    def receive_packet(self, data: bytes, source: Address) -> None:
        """Handle a packet from the fabric or an upstream."""
        self._packets_in += 1
        try:
            actions = self._core.receive_packet(data, source, self._clock())
        except Exception:
            self._log_core_error("Packet core raised an exception; packet dropped.")
            return
        for action in actions:
            if type(action) is Forward:
                self._forwarded += 1
                address = action.address
                self.data.send(data, (address.host, address.port))
            else:
                self._execute(action, data)

    def receive_message(self, sender: InstanceId, body: bytes) -> None:
        """Handle a message that the transport accepted from a peer."""
        message = codec.decode_entry_message(body)
        if isinstance(message, DecodeProblem):
            self.metrics.count(Metric.PEER_UNDECODED, label=message.value)
            return
        packet = message.packet if isinstance(message, PassedPacket) else b""
        try:
            actions = self._core.receive_message(sender, message, self._clock())
        except Exception:
            self._log_core_error("Packet core raised an exception; peer message ignored.")
            return
        self._execute_all(actions, packet)

    def receive_update(self, update: ViewUpdate) -> None:
        """Handle a view update from the link."""
        if self._view is None or update.configuration.version != self._view.configuration.version:
            self._log.info("Configuration version received.", version=update.configuration.version)
        self._view = update
        self.peers.set_peers(
            {member.instance.id: member.instance.peer for member in update.members}
        )
        try:
            actions = self._core.update_view(update, self._clock())
        except Exception:
            self._log_core_error("Packet core raised an exception; view update ignored.")
            return
        self._execute_all(actions)

    def tick(self) -> None:
        """Run the core's due timers."""
        try:
            actions = self._core.tick(self._clock())
        except Exception:
            self._log_core_error("Packet core raised an exception; tick skipped.")
            return
        self._execute_all(actions)

    def report(self) -> None:
        """Send the core's report to the view, unless it is empty or the link is down."""
        if self.link.is_connected:
            report = self._core.collect_report()
            if report != EntryReport():
                self.link.report(report)

    def flush_log(self, output: OutputHandler) -> None:
        """Write queued routing decisions unless the output is blocked."""
        output.drain()
        if not output.is_blocked:
            self.route_log.flush()

    def flush_metrics(self, output: OutputHandler | None = None) -> None:
        """Update the counters and gauges and send their changes."""
        metrics = self.metrics
        metrics.set_total(Metric.PACKETS_IN, self._packets_in)
        metrics.set_total(Metric.PACKETS_FORWARDED, self._forwarded)
        metrics.set_total(Metric.PACKETS_RETURNED, self._returned)
        metrics.set_total(Metric.RESETS_SENT, self._resets_sent)
        metrics.set_total(Metric.PACKETS_UNSENT, self.data.unsent)
        for drop, count in self._dropped.items():
            metrics.set_total(Metric.PACKETS_DROPPED, count, drop.value)
        for refusal, count in self._refused.items():
            metrics.set_total(Metric.REFUSALS, count, refusal.value)
        metrics.set_total(Metric.LOG_SKIPPED, self.route_log.skipped)
        metrics.set_total(Metric.LOG_LOST, self.route_log.lost + (output.lost if output else 0))
        metrics.set_gauge(Metric.VIEW_NUMBER, self._view.number if self._view else 0)
        metrics.flush()

    async def drain(self) -> None:
        """Leave the fleet: serve until the core may stop or the drain timeout expires."""
        self._is_leaving = True
        deadline = self._clock() + self._settings.drain_timeout_s
        self._execute_all(self._core.begin_leaving(self._clock()))
        while not self._core.may_stop(self._clock()):
            if self._clock() >= deadline:
                self._log.warning("Drain timeout expired.")
                return
            await asyncio.sleep(DRAIN_POLL_S)

    def describe(self) -> EntryState:
        """Return the state that the control endpoint serves."""
        view = self._view
        return EntryState(
            self._settings.instance,
            self._is_leaving,
            self.link.is_connected,
            view.number if view else 0,
            view.configuration.version if view else Version(0),
            view.highest if view else Version(0),
            self.metrics.get_totals(),
            self._core.describe(),
        )

    def explain(self, flow: FlowName) -> Explanation:
        """Return the steps of the routing decision for a flow."""
        return self._core.explain(flow, self._clock())

    def _execute_all(self, actions: Iterable[PacketAction], packet: bytes = b"") -> None:
        for action in actions:
            self._execute(action, packet)

    def _execute(self, action: PacketAction, packet: bytes) -> None:
        if isinstance(action, Forward):
            self._forward(action.address, packet)
        elif isinstance(action, ForwardHeld):
            self._forward(action.address, action.packet)
        elif isinstance(action, SendToPeer):
            self._send_to_peer(action)
        elif isinstance(action, LogRoute):
            self._log_route(action)
        elif isinstance(action, Drop):
            self._dropped[action.reason] += 1
        elif isinstance(action, Return):
            self._returned += 1
            self.data.send(packet, self._fabric)
        elif isinstance(action, ReturnPacket):
            self._resets_sent += 1
            self.data.send(action.packet, self._fabric)

    def _forward(self, address: Endpoint, packet: bytes) -> None:
        self._forwarded += 1
        self.data.send(packet, (address.host, address.port))

    def _send_to_peer(self, action: SendToPeer) -> None:
        is_packet = isinstance(action.message, PassedPacket)
        if is_packet:
            self.metrics.count(Metric.PACKETS_PASSED)
        body = codec.encode(action.message)
        self.peers.send(action.instance, body, as_datagram=is_packet)

    def _log_route(self, decision: LogRoute) -> None:
        if isinstance(decision.reason, RefusalReason):
            self._refused[decision.reason] += 1
        self.route_log.add(decision)

    def _log_core_error(self, text: str) -> None:
        self.metrics.count(Metric.CORE_FAULTS)
        self._log.error(text, exc_info=True)

"""Link between the view and the entry of one instance: Cap'n Proto messages over local TCP.

The view listens and sends its latest update to each entry that connects. After a failure, the
entry reconnects with backoff and continues to use the last update until then.
"""

import asyncio
import struct
from abc import ABC, abstractmethod
from collections.abc import Callable
from enum import Enum, unique

import aiomisc

from chicoryproxy.model import Endpoint
from chicoryproxy.network import codec
from chicoryproxy.network.backoff import Backoff
from chicoryproxy.network.codec import MAX_MESSAGE_BYTES, DecodeProblem
from chicoryproxy.protocol.messages import EntryReport, LinkMessage, ViewUpdate
from chicoryproxy.telemetry.logs import PartLogger
from chicoryproxy.telemetry.metrics import Metric, Metrics

PART = "link"

_LENGTH = struct.Struct("!I")


@unique
class LinkEnd(Enum):
    """Why a connection was closed."""

    CLOSED = "closed"
    TOO_LARGE = "too_large"
    UNDECODED = "undecoded"


class _LinkService(aiomisc.Service, ABC):
    """Base class of both sides: reads and writes frames on the current connection.

    A frame is a message preceded by its length.
    """

    def __init__(self, endpoint: Endpoint, metrics: Metrics) -> None:
        super().__init__()
        self._endpoint = endpoint
        self._metrics = metrics
        self._writer: asyncio.StreamWriter | None = None
        self._log = PartLogger(PART)

    @property
    def is_connected(self) -> bool:
        """True while the other process is connected."""
        return self._writer is not None

    async def stop(self, exception: Exception | None = None) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
            self._writer = None

    @abstractmethod
    def _receive(self, message: LinkMessage) -> None:
        """Handle a message from the other process."""

    def _write(self, message: LinkMessage) -> None:
        if self._writer is not None:
            data = codec.encode(message)
            self._writer.writelines((_LENGTH.pack(len(data)), data))

    async def _read(self, reader: asyncio.StreamReader) -> LinkEnd:
        while True:
            try:
                (size,) = _LENGTH.unpack(await reader.readexactly(_LENGTH.size))
                if size > MAX_MESSAGE_BYTES:
                    return LinkEnd.TOO_LARGE
                data = await reader.readexactly(size)
            except (OSError, EOFError):
                return LinkEnd.CLOSED
            message = codec.decode_link_message(data)
            if isinstance(message, DecodeProblem):
                return LinkEnd.UNDECODED
            self._receive(message)


class LinkServer(_LinkService):
    """The view's side of the link.

    :param endpoint: local address to listen on.
    :param receive: called with each report of the entry.
    """

    def __init__(
        self, endpoint: Endpoint, receive: Callable[[EntryReport], None], metrics: Metrics
    ) -> None:
        super().__init__(endpoint, metrics)
        self._receive_report = receive
        self._latest: ViewUpdate | None = None
        self._changed = asyncio.Event()

    def publish(self, update: ViewUpdate) -> None:
        """Send an update to the entry; it replaces an older one that is not sent yet."""
        self._latest = update
        self._changed.set()

    async def start(self) -> None:
        """Accept connections of the entry until the service is stopped."""
        server = await asyncio.start_server(self._serve, self._endpoint.host, self._endpoint.port)
        self.start_event.set()
        async with server:
            await server.serve_forever()

    def _receive(self, message: LinkMessage) -> None:
        if isinstance(message, EntryReport):
            self._receive_report(message)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._writer is not None:
            self._writer.close()
        self._writer = writer
        self._metrics.count(Metric.LINK_CONNECTS)
        self._log.info("Entry connected.")
        sender = self.loop.create_task(self._send_updates(writer))
        end = await self._read(reader)
        sender.cancel()
        writer.close()
        if self._writer is writer:
            self._writer = None
        self._log.info("Entry disconnected.", reason=end.value)

    async def _send_updates(self, writer: asyncio.StreamWriter) -> None:
        self._changed.set()
        while self._writer is writer:
            await self._changed.wait()
            self._changed.clear()
            if self._latest is not None and self._writer is writer:
                self._write(self._latest)
                await writer.drain()


class LinkClient(_LinkService):
    """The entry's side of the link.

    :param endpoint: address that the view listens on.
    :param receive: called with each update of the view.
    :param seed: seed of the reconnect jitter.
    """

    def __init__(
        self,
        endpoint: Endpoint,
        receive: Callable[[ViewUpdate], None],
        metrics: Metrics,
        seed: int,
    ) -> None:
        super().__init__(endpoint, metrics)
        self._receive_update = receive
        self._backoff = Backoff(seed)

    def report(self, report: EntryReport) -> None:
        """Send a report if the view is connected."""
        self._write(report)

    async def start(self) -> None:
        """Connect to the view and reconnect after each failure."""
        self.start_event.set()
        while True:
            end = await self._connect()
            self._log.warning("View unavailable; the last update stays in use.", reason=end.value)
            await asyncio.sleep(self._backoff.next_delay())

    async def _connect(self) -> LinkEnd:
        try:
            reader, writer = await asyncio.open_connection(self._endpoint.host, self._endpoint.port)
        except OSError:
            return LinkEnd.CLOSED
        self._writer = writer
        self._metrics.count(Metric.LINK_CONNECTS)
        self._log.info("View connected.")
        try:
            return await self._read(reader)
        finally:
            self._writer = None
            writer.close()

    def _receive(self, message: LinkMessage) -> None:
        if isinstance(message, ViewUpdate):
            self._backoff.reset()
            self._receive_update(message)

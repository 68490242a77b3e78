"""Client of the platform's configuration service and instance list, which it only reads.

The protocol is plain HTTP. ``GET /v1/values/NAME`` and ``GET /v1/instances`` answer with a body
and an ``ETag``. A watch repeats the ``ETag`` in ``If-None-Match`` and asks with ``Prefer:
wait=SECONDS`` (RFC 7240) that the answer is held until the value changes; the answer is 200 with
the new value or 304 after the wait.

The value ``configuration`` is an index; the parts that it names are read one after the other, and
a version is handed on when all of them are there (``docs/design/published-form.md``).
"""

import asyncio
from collections.abc import Awaitable, Callable
from enum import Enum, unique

import aiohttp
import msgspec
from msgspec import Struct

from chicoryproxy.configuration.assembly import PublicationReader
from chicoryproxy.configuration.published import INDEX_NAME, MAX_VALUE_BYTES, PublishedFault
from chicoryproxy.ids import Version
from chicoryproxy.model import Instance
from chicoryproxy.network.backoff import Backoff
from chicoryproxy.protocol.events import (
    ConfigurationRead,
    HealthReading,
    InstancesRead,
    PlatformUnread,
)
from chicoryproxy.telemetry.logs import PartLogger
from chicoryproxy.telemetry.metrics import Metric, Metrics

WAIT_S = 30
ANSWER_TIMEOUT_S = 5.0
MIN_INTERVAL_S = 0.5
PART_INTERVAL_S = 0.02
"""Gap between two parts, so that readers that start together keep within the platform's rate."""

VALUES_PATH = "/v1/values/"
CONFIGURATION_PATH = VALUES_PATH + INDEX_NAME
INSTANCES_PATH = "/v1/instances"
PART = "platform"

PlatformEvent = ConfigurationRead | InstancesRead | PlatformUnread
Reading = PlatformEvent | HealthReading
ReceiveReading = Callable[[Reading], None]


@unique
class ReadProblem(Enum):
    """Why a read gave nothing new."""

    UNCHANGED = "unchanged"
    UNREACHABLE = "unreachable"
    BAD_STATUS = "bad_status"
    TOO_LARGE = "too_large"


class Value(Struct, frozen=True):
    """A value as the platform served it."""

    etag: str
    body: bytes


class PlatformReader:
    """Reads single values.

    :param url: of the platform's service, without a slash at its end.
    """

    def __init__(self, url: str, session: aiohttp.ClientSession, metrics: Metrics) -> None:
        self._url = url
        self._session = session
        self._metrics = metrics

    async def read(self, path: str, etag: str = "") -> Value | ReadProblem:
        """Read a value, or wait until it differs from the one with the given tag."""
        self._metrics.count(Metric.PLATFORM_READS)
        headers = {"If-None-Match": etag, "Prefer": f"wait={WAIT_S}"} if etag else {}
        timeout = aiohttp.ClientTimeout(total=ANSWER_TIMEOUT_S + (WAIT_S if etag else 0))
        try:
            async with self._session.get(
                self._url + path, headers=headers, timeout=timeout
            ) as answer:
                return await self._take(answer)
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
            return ReadProblem.UNREACHABLE

    async def _take(self, answer: aiohttp.ClientResponse) -> Value | ReadProblem:
        if answer.status == 304:
            return ReadProblem.UNCHANGED
        if answer.status != 200:
            return ReadProblem.BAD_STATUS
        body = bytearray()
        async for chunk in answer.content.iter_chunked(64 * 1024):
            body += chunk
            if len(body) > MAX_VALUE_BYTES:
                return ReadProblem.TOO_LARGE
        return Value(answer.headers.get("ETag", ""), bytes(body))


class PlatformWatch:
    """Watches the configuration and the instance list while it is told to.

    :param receive: called with each reading, and with ``PlatformUnread`` after each failure.
    """

    def __init__(
        self, reader: PlatformReader, receive: ReceiveReading, metrics: Metrics, seed: int
    ) -> None:
        self._reader = reader
        self._receive = receive
        self._metrics = metrics
        self._seed = seed
        self._tasks: list[asyncio.Task[None]] = []
        self._version = Version(0)
        self._publication = PublicationReader()

    @property
    def is_watching(self) -> bool:
        """True between ``start`` and ``stop``."""
        return bool(self._tasks)

    def start(self, after: Version) -> None:
        """Start to watch; an older configuration than ``after`` counts as unread."""
        self._version = max(self._version, after)
        if self._tasks:
            return
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(self._watch(CONFIGURATION_PATH, self._read_configuration, 1)),
            loop.create_task(self._watch(INSTANCES_PATH, self._read_instances, 2)),
        ]

    def stop(self) -> None:
        """End the watch."""
        for task in self._tasks:
            task.cancel()
        self._tasks = []

    async def _watch(
        self, path: str, take: Callable[[bytes], Awaitable[PlatformEvent]], number: int
    ) -> None:
        backoff = Backoff(self._seed + number)
        clock = asyncio.get_running_loop().time
        etag = ""
        while True:
            started = clock()
            value = await self._reader.read(path, etag)
            if isinstance(value, Value):
                event = await take(value.body)
            elif value is ReadProblem.UNCHANGED:
                event = None
            else:
                event = PlatformUnread(f"{path}: {value.value}")
            if event is not None:
                self._hand_on(event)
            if isinstance(event, PlatformUnread):
                await asyncio.sleep(backoff.next_delay())
                continue
            backoff.reset()
            etag = value.etag if isinstance(value, Value) else etag
            # A platform that does not hold its answers must not be asked in a tight loop.
            await asyncio.sleep(max(0.0, MIN_INTERVAL_S - (clock() - started)))

    def _hand_on(self, event: PlatformEvent) -> None:
        if isinstance(event, PlatformUnread):
            self._metrics.count(Metric.PLATFORM_FAILURES)
            PartLogger(PART).warning("Read failed.", reason=event.reason)
        self._receive(event)

    async def _read_configuration(self, body: bytes) -> PlatformEvent:
        """Read the parts that an index names and that are not here yet."""
        names = self._take_index(body)
        if isinstance(names, PlatformUnread):
            return names
        for number, name in enumerate(names):
            if number:
                await asyncio.sleep(PART_INTERVAL_S)
            value = await self._reader.read(VALUES_PATH + name)
            if isinstance(value, ReadProblem):
                return PlatformUnread(f"{name}: {value.value}")
            fault = self._publication.add_part(name, value.body)
            if fault is not None:
                return PlatformUnread(str(fault))
        configuration = self._publication.assemble()
        if isinstance(configuration, PublishedFault):
            return PlatformUnread(str(configuration))
        self._version = configuration.version
        return ConfigurationRead(configuration)

    def _take_index(self, body: bytes) -> tuple[str, ...] | PlatformUnread:
        names = self._publication.update_index(body)
        if isinstance(names, PublishedFault):
            return PlatformUnread(str(names))
        version = self._publication.version
        if version < self._version:
            return PlatformUnread(
                f"{INDEX_NAME}: version {version} is older than version {self._version}"
            )
        return names

    async def _read_instances(self, body: bytes) -> PlatformEvent:
        return self._take_instances(body)

    def _take_instances(self, body: bytes) -> PlatformEvent:
        try:
            return InstancesRead(msgspec.json.decode(body, type=tuple[Instance, ...]))
        except (msgspec.MsgspecError, ValueError) as error:
            return PlatformUnread(f"{INSTANCES_PATH}: {error}")

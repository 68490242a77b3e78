"""Read-only client of the platform's configuration service and instance list.

The protocol is HTTP with long polling. ``GET /v1/values/NAME`` and ``GET /v1/instances`` answer
with a body and an ``ETag``. A watch repeats the ``ETag`` in ``If-None-Match`` and asks the server
with ``Prefer: wait=SECONDS`` (RFC 7240) to hold the response until the value changes. The response
is 200 with the new value, or 304 if the wait expires.

The value ``configuration`` is an index. The parts that it names are fetched one at a time, and a
version is delivered once all of its parts are there (``docs/design/published-form.md``).
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
    PlatformReadFailed,
)
from chicoryproxy.telemetry.logs import PartLogger
from chicoryproxy.telemetry.metrics import Metric, Metrics

LONG_POLL_S = 30
RESPONSE_TIMEOUT_S = 5.0
MIN_READ_INTERVAL_S = 0.5
PART_READ_INTERVAL_S = 0.02
"""Delay between two parts; keeps readers that start at once within the platform's rate limit."""

VALUES_PATH = "/v1/values/"
CONFIGURATION_PATH = VALUES_PATH + INDEX_NAME
INSTANCES_PATH = "/v1/instances"
PART = "platform"

PlatformEvent = ConfigurationRead | InstancesRead | PlatformReadFailed
Reading = PlatformEvent | HealthReading
ReceiveReading = Callable[[Reading], None]


@unique
class ReadProblem(Enum):
    """Why a read returned no new value."""

    UNCHANGED = "unchanged"
    UNREACHABLE = "unreachable"
    BAD_STATUS = "bad_status"
    TOO_LARGE = "too_large"


class PlatformValue(Struct, frozen=True):
    """A value and its entity tag, as the platform served them."""

    etag: str
    body: bytes


class PlatformReader:
    """Fetches single values.

    :param url: base URL of the platform's configuration service, without a trailing slash.
    """

    def __init__(self, url: str, session: aiohttp.ClientSession, metrics: Metrics) -> None:
        self._url = url
        self._session = session
        self._metrics = metrics

    async def read(self, path: str, etag: str = "") -> PlatformValue | ReadProblem:
        """Fetch a value.

        :param etag: entity tag of the known value; if given, wait until the value differs from it.
        """
        self._metrics.count(Metric.PLATFORM_READS)
        headers = {"If-None-Match": etag, "Prefer": f"wait={LONG_POLL_S}"} if etag else {}
        timeout = aiohttp.ClientTimeout(total=RESPONSE_TIMEOUT_S + (LONG_POLL_S if etag else 0))
        try:
            async with self._session.get(
                self._url + path, headers=headers, timeout=timeout
            ) as response:
                return await self._read_response(response)
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
            return ReadProblem.UNREACHABLE

    async def _read_response(self, response: aiohttp.ClientResponse) -> PlatformValue | ReadProblem:
        if response.status == 304:
            return ReadProblem.UNCHANGED
        if response.status != 200:
            return ReadProblem.BAD_STATUS
        body = bytearray()
        async for chunk in response.content.iter_chunked(64 * 1024):
            body += chunk
            if len(body) > MAX_VALUE_BYTES:
                return ReadProblem.TOO_LARGE
        return PlatformValue(response.headers.get("ETag", ""), bytes(body))


class PlatformWatcher:
    """Watches the configuration and the instance list between ``start`` and ``stop``.

    :param receive: called with each reading, and with ``PlatformReadFailed`` after each failure.
    :param seed: seed of the retry jitter.
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
        """Start watching; a configuration older than ``after`` is reported as unread."""
        self._version = max(self._version, after)
        if self._tasks:
            return
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(self._watch(CONFIGURATION_PATH, self._read_configuration, 1)),
            loop.create_task(self._watch(INSTANCES_PATH, self._read_instances, 2)),
        ]

    def stop(self) -> None:
        """Stop watching and cancel the reads in progress."""
        for task in self._tasks:
            task.cancel()
        self._tasks = []

    async def _watch(
        self, path: str, read_event: Callable[[bytes], Awaitable[PlatformEvent]], seed_offset: int
    ) -> None:
        backoff = Backoff(self._seed + seed_offset)
        clock = asyncio.get_running_loop().time
        etag = ""
        while True:
            started_s = clock()
            value = await self._reader.read(path, etag)
            if isinstance(value, PlatformValue):
                event = await read_event(value.body)
            elif value is ReadProblem.UNCHANGED:
                event = None
            else:
                event = PlatformReadFailed(f"{path}: {value.value}")
            if event is not None:
                self._deliver(event)
            if isinstance(event, PlatformReadFailed):
                await asyncio.sleep(backoff.next_delay())
                continue
            backoff.reset()
            etag = value.etag if isinstance(value, PlatformValue) else etag
            # Avoids a busy loop if the platform ignores ``Prefer: wait`` and responds at once.
            await asyncio.sleep(max(0.0, MIN_READ_INTERVAL_S - (clock() - started_s)))

    def _deliver(self, event: PlatformEvent) -> None:
        if isinstance(event, PlatformReadFailed):
            self._metrics.count(Metric.PLATFORM_FAILURES)
            PartLogger(PART).warning("Read failed.", reason=event.reason)
        self._receive(event)

    async def _read_configuration(self, body: bytes) -> PlatformEvent:
        """Fetch the parts that the index names and that are not known yet."""
        names = self._read_index(body)
        if isinstance(names, PlatformReadFailed):
            return names
        for number, name in enumerate(names):
            if number:
                await asyncio.sleep(PART_READ_INTERVAL_S)
            value = await self._reader.read(VALUES_PATH + name)
            if isinstance(value, ReadProblem):
                return PlatformReadFailed(f"{name}: {value.value}")
            fault = self._publication.add_part(name, value.body)
            if fault is not None:
                return PlatformReadFailed(str(fault))
        configuration = self._publication.assemble()
        if isinstance(configuration, PublishedFault):
            return PlatformReadFailed(str(configuration))
        self._version = configuration.version
        return ConfigurationRead(configuration)

    def _read_index(self, body: bytes) -> tuple[str, ...] | PlatformReadFailed:
        names = self._publication.update_index(body)
        if isinstance(names, PublishedFault):
            return PlatformReadFailed(str(names))
        version = self._publication.version
        if version < self._version:
            return PlatformReadFailed(
                f"{INDEX_NAME}: version {version} is older than version {self._version}"
            )
        return names

    async def _read_instances(self, body: bytes) -> PlatformEvent:
        return self._decode_instances(body)

    def _decode_instances(self, body: bytes) -> PlatformEvent:
        try:
            return InstancesRead(msgspec.json.decode(body, type=tuple[Instance, ...]))
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            return PlatformReadFailed(f"{INSTANCES_PATH}: {error}")

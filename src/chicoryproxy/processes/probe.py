"""Reads the health endpoints of upstreams over HTTP.

An endpoint answers with a JSON object that has the optional keys ``state`` (a value of
``UpstreamState``), ``started_at`` (seconds since the epoch), ``slots_used`` and ``connections``.
"""

import asyncio
from collections.abc import Callable

import aiohttp
import msgspec
from msgspec import Struct

from chicoryproxy.ids import UpstreamId
from chicoryproxy.protocol.events import HealthReading
from chicoryproxy.states import UpstreamState
from chicoryproxy.telemetry.metrics import Metric, Metrics

READ_TIMEOUT_S = 1.0
MAX_ANSWER_BYTES = 16 * 1024
MAX_CONCURRENT_READS = 64


class HealthAnswer(Struct, frozen=True):
    """Body of a health endpoint's response."""

    state: UpstreamState | None = None
    started_at: float = 0.0
    slots_used: int = -1
    connections: int = -1


class HealthProbe:
    """Reads health endpoints, with at most one request in progress for each upstream.

    :param receive: called with each reading, including those of failed requests.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        receive: Callable[[HealthReading], None],
        metrics: Metrics,
    ) -> None:
        self._session = session
        self._receive = receive
        self._metrics = metrics
        self._tasks: dict[UpstreamId, asyncio.Task[None]] = {}
        self._semaphore = asyncio.Semaphore(MAX_CONCURRENT_READS)

    def read(self, upstream: UpstreamId, url: str) -> None:
        """Start a read of an upstream's endpoint unless one is in progress."""
        if upstream in self._tasks:
            return
        task = asyncio.get_running_loop().create_task(self._read(upstream, url))
        self._tasks[upstream] = task
        task.add_done_callback(lambda _: self._tasks.pop(upstream, None))

    def stop(self) -> None:
        """Cancel all reads in progress."""
        for task in list(self._tasks.values()):
            task.cancel()

    async def _read(self, upstream: UpstreamId, url: str) -> None:
        self._metrics.count(Metric.HEALTH_READS)
        async with self._semaphore:
            reading = await self._fetch(upstream, url)
        if not reading.reachable:
            self._metrics.count(Metric.HEALTH_FAILURES)
        self._receive(reading)

    async def _fetch(self, upstream: UpstreamId, url: str) -> HealthReading:
        clock = asyncio.get_running_loop().time
        started_s = clock()
        timeout = aiohttp.ClientTimeout(total=READ_TIMEOUT_S)
        try:
            async with self._session.get(url, timeout=timeout) as response:
                body = await response.content.read(MAX_ANSWER_BYTES)
            if response.status != 200:
                return HealthReading(upstream, reachable=False)
            answer = msgspec.json.decode(body, type=HealthAnswer)
        except (
            aiohttp.ClientError,
            OSError,
            TimeoutError,
            ValueError,
            RecursionError,
            msgspec.MsgspecError,
        ):
            return HealthReading(upstream, reachable=False)
        return HealthReading(
            upstream,
            True,
            answer.state,
            answer.started_at,
            answer.slots_used,
            answer.connections,
            clock() - started_s,
        )

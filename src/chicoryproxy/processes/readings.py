"""Service that reads the platform and the upstreams' health endpoints for the view."""

import aiohttp
import aiomisc

from chicoryproxy.ids import UpstreamId, Version
from chicoryproxy.processes.platformclient import PlatformReader, PlatformWatcher, ReceiveReading
from chicoryproxy.processes.probe import HealthProbe
from chicoryproxy.protocol.events import HealthReading
from chicoryproxy.telemetry.metrics import Metrics


class ReadingService(aiomisc.Service):
    """Owns the HTTP session, the platform watcher and the health probe.

    A watch that was requested before a restart of the service is resumed after it.

    :param url: base URL of the platform's configuration service.
    :param receive: called with each reading.
    """

    def __init__(self, url: str, receive: ReceiveReading, metrics: Metrics, seed: int) -> None:
        super().__init__()
        self._url = url
        self._receive = receive
        self._metrics = metrics
        self._seed = seed
        self._after: Version | None = None
        self._session: aiohttp.ClientSession | None = None
        self._watcher: PlatformWatcher | None = None
        self._probe: HealthProbe | None = None

    def watch(self, after: Version) -> None:
        """Watch the platform for configurations that are not older than ``after``."""
        self._after = after
        if self._watcher is not None:
            self._watcher.start(after)

    def stop_watching(self) -> None:
        """Stop watching the platform."""
        self._after = None
        if self._watcher is not None:
            self._watcher.stop()

    def read_health(self, upstream: UpstreamId, url: str) -> None:
        """Read the health endpoint of an upstream once; ignored while the service is down."""
        if self._probe is not None:
            self._probe.read(upstream, url)

    async def start(self) -> None:
        """Open the HTTP session and serve until the service is stopped."""
        self._session = aiohttp.ClientSession(auto_decompress=False)
        reader = PlatformReader(self._url, self._session, self._metrics)
        self._watcher = PlatformWatcher(reader, self._receive, self._metrics, self._seed)
        self._probe = HealthProbe(self._session, self._receive_health, self._metrics)
        if self._after is not None:
            self._watcher.start(self._after)
        self.start_event.set()
        await self.loop.create_future()

    async def stop(self, exception: Exception | None = None) -> None:
        """Cancel all reads in progress and close the HTTP session."""
        if self._watcher is not None:
            self._watcher.stop()
        if self._probe is not None:
            self._probe.stop()
        if self._session is not None:
            await self._session.close()
        self._watcher = None
        self._probe = None
        self._session = None

    def _receive_health(self, reading: HealthReading) -> None:
        self._receive(reading)

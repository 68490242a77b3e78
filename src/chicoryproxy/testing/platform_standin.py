"""Platform stand-in for the demo and the tests: values, watches and the instance list.

It also serves the health endpoints of upstreams, under ``/health/UPSTREAM``.
"""

import asyncio

import msgspec
from aiohttp import web

from chicoryproxy.configuration.published import PublishedFault
from chicoryproxy.configuration.splitter import split_configuration
from chicoryproxy.ids import UpstreamId
from chicoryproxy.model import Configuration, Endpoint, Instance
from chicoryproxy.processes.platformclient import CONFIGURATION_PATH, INSTANCES_PATH, VALUES_PATH
from chicoryproxy.processes.probe import HealthAnswer

DEFAULT_WAIT_S = 0.0


class PlatformStandIn:
    """Serves the values that a test or the demo publishes.

    :ivar is_down: whether value requests are answered with status 503.
    :ivar requests: number of value requests so far.
    """

    def __init__(self) -> None:
        self.is_down = False
        self.requests = 0
        self._values: dict[str, bytes] = {}
        self._etags: dict[str, int] = {}
        self._health: dict[str, HealthAnswer] = {}
        self._changed = asyncio.Condition()
        self._runner: web.AppRunner | None = None
        self._endpoint = Endpoint("127.0.0.1", 0)

    @property
    def url(self) -> str:
        """URL of the service."""
        return f"http://{self._endpoint.host}:{self._endpoint.port}"

    async def start(self, endpoint: Endpoint) -> None:
        """Serve at an endpoint; port 0 selects a free port."""
        application = web.Application()
        application.router.add_get("/health/{upstream}", self._handle_health)
        application.router.add_get("/{path:.*}", self._handle_value)
        self._runner = web.AppRunner(application, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, endpoint.host, endpoint.port).start()
        host, port = self._runner.addresses[0][:2]
        self._endpoint = Endpoint(host, port)

    async def stop(self) -> None:
        """Stop serving."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def publish(self, path: str, body: bytes) -> None:
        """Set a value and wake the requests that wait for a change."""
        async with self._changed:
            self._values[path] = body
            self._etags[path] = self._etags.get(path, 0) + 1
            self._changed.notify_all()

    async def publish_configuration(self, configuration: Configuration) -> None:
        """Publish a configuration: its parts, then its index."""
        publication = split_configuration(configuration)
        if isinstance(publication, PublishedFault):
            raise ValueError(str(publication))
        for name, body in publication.parts.items():
            await self.publish(VALUES_PATH + name, body)
        await self.publish(CONFIGURATION_PATH, publication.index)

    async def publish_instances(self, instances: tuple[Instance, ...]) -> None:
        """Publish an instance list."""
        await self.publish(INSTANCES_PATH, msgspec.json.encode(instances))

    def set_health(self, upstream: UpstreamId, answer: HealthAnswer) -> None:
        """Set the response of an upstream's health endpoint."""
        self._health[upstream] = answer

    async def _handle_value(self, request: web.Request) -> web.Response:
        self.requests += 1
        path = request.path
        if not self.is_down:
            await self._wait_for_change(path, request)
        if self.is_down:
            return web.Response(status=503)
        if path not in self._values:
            return web.Response(status=404)
        tag = str(self._etags[path])
        if request.headers.get("If-None-Match") == tag:
            return web.Response(status=304, headers={"ETag": tag})
        return web.Response(body=self._values[path], headers={"ETag": tag})

    async def _wait_for_change(self, path: str, request: web.Request) -> None:
        """Delay the response while the client already has the newest value."""
        tag = request.headers.get("If-None-Match", "")
        preference = request.headers.get("Prefer", "")
        wait_s = float(preference.removeprefix("wait=") or DEFAULT_WAIT_S)
        try:
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(lambda: tag != str(self._etags.get(path)))
        except TimeoutError:
            pass

    async def _handle_health(self, request: web.Request) -> web.Response:
        answer = self._health.get(request.match_info["upstream"])
        if answer is None:
            return web.Response(status=404)
        return web.Response(body=msgspec.json.encode(answer), content_type="application/json")

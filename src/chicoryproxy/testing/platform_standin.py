"""Stand-in for the platform, for the demo and the tests: values, watches, the instance list.

It also answers for the health endpoints of upstreams, under ``/health/UPSTREAM``.
"""

import asyncio

import msgspec
from aiohttp import web

from chicoryproxy.configuration.published import PublishedFault
from chicoryproxy.configuration.splitter import publish
from chicoryproxy.ids import UpstreamId
from chicoryproxy.model import Configuration, Endpoint, Instance
from chicoryproxy.processes.platformclient import CONFIGURATION_PATH, INSTANCES_PATH, VALUES_PATH
from chicoryproxy.processes.probe import HealthAnswer

NO_WAIT_S = 0.0


class PlatformStandIn:
    """Serves what the test or the demo publishes.

    :ivar is_down: answer every call with 503.
    :ivar calls: number of calls so far.
    """

    def __init__(self) -> None:
        self.is_down = False
        self.calls = 0
        self._values: dict[str, bytes] = {}
        self._tags: dict[str, int] = {}
        self._health: dict[str, HealthAnswer] = {}
        self._changed = asyncio.Condition()
        self._runner: web.AppRunner | None = None
        self._endpoint = Endpoint("127.0.0.1", 0)

    @property
    def url(self) -> str:
        """URL of the service."""
        return f"http://{self._endpoint.host}:{self._endpoint.port}"

    async def start(self, endpoint: Endpoint) -> None:
        """Serve at an endpoint; port zero takes a free one."""
        application = web.Application()
        application.router.add_get("/health/{upstream}", self._answer_health)
        application.router.add_get("/{path:.*}", self._answer)
        self._runner = web.AppRunner(application, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, endpoint.host, endpoint.port).start()
        host, port = self._runner.addresses[0][:2]
        self._endpoint = Endpoint(host, port)

    async def stop(self) -> None:
        """Close the service."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def publish(self, path: str, body: bytes) -> None:
        """Serve a value and answer the watches that wait for it."""
        async with self._changed:
            self._values[path] = body
            self._tags[path] = self._tags.get(path, 0) + 1
            self._changed.notify_all()

    async def publish_configuration(self, configuration: Configuration) -> None:
        """Serve a configuration: its parts, then its index."""
        publication = publish(configuration)
        if isinstance(publication, PublishedFault):
            raise ValueError(str(publication))
        for name, body in publication.parts.items():
            await self.publish(VALUES_PATH + name, body)
        await self.publish(CONFIGURATION_PATH, publication.index)

    async def publish_instances(self, instances: tuple[Instance, ...]) -> None:
        """Serve an instance list."""
        await self.publish(INSTANCES_PATH, msgspec.json.encode(instances))

    def set_health(self, upstream: UpstreamId, answer: HealthAnswer) -> None:
        """Set what the health endpoint of an upstream says."""
        self._health[upstream] = answer

    async def _answer(self, request: web.Request) -> web.Response:
        self.calls += 1
        path = request.path
        if not self.is_down:
            await self._wait(path, request)
        if self.is_down:
            return web.Response(status=503)
        if path not in self._values:
            return web.Response(status=404)
        tag = str(self._tags[path])
        if request.headers.get("If-None-Match") == tag:
            return web.Response(status=304, headers={"ETag": tag})
        return web.Response(body=self._values[path], headers={"ETag": tag})

    async def _wait(self, path: str, request: web.Request) -> None:
        """Hold the answer while the caller has the newest value."""
        tag = request.headers.get("If-None-Match", "")
        preference = request.headers.get("Prefer", "")
        wait_s = float(preference.removeprefix("wait=") or NO_WAIT_S)
        try:
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(lambda: tag != str(self._tags.get(path)))
        except TimeoutError:
            pass

    async def _answer_health(self, request: web.Request) -> web.Response:
        answer = self._health.get(request.match_info["upstream"])
        if answer is None:
            return web.Response(status=404)
        return web.Response(body=msgspec.json.encode(answer), content_type="application/json")

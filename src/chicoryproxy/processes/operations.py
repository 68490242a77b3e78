"""The control endpoint of a process: a read-only HTTP interface that answers in JSON.

``GET /state`` returns the state of the process. ``GET /explain?flow=FLOW`` returns the steps of
the routing decision for a flow, in the notation that ``flowname.parse_flow`` accepts.
"""

from collections.abc import Callable
from typing import Any

import aiomisc
import msgspec
from aiohttp import web
from msgspec import Struct

from chicoryproxy.model import Endpoint
from chicoryproxy.routing.flowname import FlowName, FlowNameFault, parse_flow

Describe = Callable[[], Any]
Explain = Callable[[FlowName], Any]


class ErrorAnswer(Struct, frozen=True):
    """Body of an error response."""

    error: str


class OperationsServer(aiomisc.Service):
    """Serves the control endpoint.

    :param describe: returns the state as a struct.
    :param explain: returns the steps of a routing decision; ``None`` if the process routes no
        flows.
    """

    def __init__(
        self, endpoint: Endpoint, describe: Describe, explain: Explain | None = None
    ) -> None:
        super().__init__()
        self._endpoint = endpoint
        self._describe = describe
        self._explain = explain
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Listen and serve requests until the service is stopped."""
        application = web.Application()
        application.router.add_get("/state", self._handle_state)
        application.router.add_get("/explain", self._handle_explain)
        self._runner = web.AppRunner(application, access_log=None)
        await self._runner.setup()
        await web.TCPSite(self._runner, self._endpoint.host, self._endpoint.port).start()
        self.start_event.set()
        await self.loop.create_future()

    async def stop(self, exception: Exception | None = None) -> None:
        """Close the listening socket and its connections."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _handle_state(self, _request: web.Request) -> web.Response:
        return _respond(self._describe())

    async def _handle_explain(self, request: web.Request) -> web.Response:
        if self._explain is None:
            return _respond(ErrorAnswer("this process does not route flows"), 404)
        flow = parse_flow(request.query.get("flow", ""))
        if isinstance(flow, FlowNameFault):
            return _respond(ErrorAnswer(flow.value), 400)
        return _respond(self._explain(flow))


def _respond(value: Any, status: int = 200) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(value), status=status, content_type="application/json"
    )

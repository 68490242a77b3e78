"""Connections that tell whether an upstream can be reached."""

from collections.abc import Callable

from chicoryproxy.eventloop.http import HttpClient, HttpResponse, HttpResult, HttpTimeout
from chicoryproxy.eventloop.loop import Loop
from chicoryproxy.eventloop.stream import Stream, StreamHandler, open_stream
from chicoryproxy.forwarding.confirmation import ProbeResult
from chicoryproxy.ids import UpstreamId
from chicoryproxy.model import Endpoint
from chicoryproxy.platform.health import read_identity

CONNECT_TIMEOUT_S = 0.12
IDENTITY_TIMEOUT_S = 0.4
SLOW_CONNECT_S = 0.04
"""A connection that takes longer shows a congested link or a slow process."""

MAX_TIMER_DELAY_S = 0.1
"""A timer that fires this much late shows a pause of this process, and its result means nothing."""

ProbeCallback = Callable[[ProbeResult], None]


class _ConnectionProbe(StreamHandler):
    """Opens a connection and closes it at once."""

    def __init__(self, loop: Loop, address: Endpoint, on_result: ProbeCallback) -> None:
        self._loop = loop
        self._on_result = on_result
        self._due_s = loop.read_clock() + CONNECT_TIMEOUT_S
        self._timer = loop.call_later(CONNECT_TIMEOUT_S, self._expire)
        self._stream: Stream = open_stream(loop, address, self)

    def handle_connected(self) -> None:
        """The upstream's machine has accepted."""
        duration_s = self._loop.read_clock() - self._due_s + CONNECT_TIMEOUT_S
        is_slow = duration_s > SLOW_CONNECT_S
        self._finish(ProbeResult.CONNECTED_SLOWLY if is_slow else ProbeResult.CONNECTED)

    def handle_data(self, data: bytes) -> None:
        """Nothing is asked, so that nothing is expected."""

    def handle_closed(self, error: OSError | None) -> None:
        """Tell a refusal from other failures."""
        self._finish(_classify_error(error))

    def _expire(self) -> None:
        self._finish(_classify_timeout(self._loop.read_clock() - self._due_s))

    def _finish(self, result: ProbeResult) -> None:
        self._timer.cancel()
        self._stream.close()
        self._on_result(result)


def probe_connection(loop: Loop, address: Endpoint, on_result: ProbeCallback) -> None:
    """Open a connection and close it at once; no request is sent."""
    _ConnectionProbe(loop, address, on_result)


def probe_identity(
    loop: Loop, address: Endpoint, path: str, upstream: UpstreamId, on_result: ProbeCallback
) -> None:
    """Ask the server at an address who it is.

    :param path: of its health check.
    :param upstream: the id that it should have.
    """
    client = HttpClient(loop, address)

    def handle_result(result: HttpResult) -> None:
        client.close()
        if isinstance(result, HttpResponse):
            is_same = read_identity(result.headers) == upstream
            on_result(ProbeResult.CONNECTED if is_same else ProbeResult.OTHER_SERVER)
        elif isinstance(result, HttpTimeout):
            on_result(_classify_timeout(result.late_s))
        else:
            on_result(_classify_error(result.error))

    client.get(path, IDENTITY_TIMEOUT_S, handle_result)


def _classify_error(error: OSError | None) -> ProbeResult:
    if isinstance(error, ConnectionRefusedError):
        return ProbeResult.REFUSED
    return ProbeResult.TIMEOUT


def _classify_timeout(late_s: float) -> ProbeResult:
    return ProbeResult.DISCARDED if late_s > MAX_TIMER_DELAY_S else ProbeResult.TIMEOUT

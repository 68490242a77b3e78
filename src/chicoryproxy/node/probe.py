"""Probes that check whether an upstream is reachable, over TCP or by an HTTP health check."""

from collections.abc import Callable

from chicoryproxy.endpoint import Endpoint
from chicoryproxy.eventloop.http import (
    HttpClient,
    HttpFailure,
    HttpResponse,
    HttpResult,
    HttpTimeout,
)
from chicoryproxy.eventloop.loop import Loop
from chicoryproxy.eventloop.stream import Stream, StreamHandler, open_stream
from chicoryproxy.forwarding.health.reachability import ProbeResult
from chicoryproxy.ids import UpstreamId
from chicoryproxy.platform.health import read_identity

CONNECT_TIMEOUT_S = 0.12
IDENTITY_TIMEOUT_S = 0.4
SLOW_CONNECT_S = 0.04
"""Connecting takes longer than this only on a congested link or with a slow process."""

MAX_TIMER_DELAY_S = 0.1
"""If a timeout fires later than this, this process was paused, and the result is discarded."""

ProbeCallback = Callable[[ProbeResult], None]


class _ConnectionProbe(StreamHandler):
    """Opens a TCP connection and closes it immediately."""

    def __init__(self, loop: Loop, address: Endpoint, on_result: ProbeCallback) -> None:
        self._loop = loop
        self._on_result = on_result
        self._due_s = loop.read_clock() + CONNECT_TIMEOUT_S
        self._stream: Stream = open_stream(loop, address, self)
        self._timer = loop.call_later(CONNECT_TIMEOUT_S, self._expire)

    def handle_connected(self) -> None:
        """Report success; the kernel of the upstream's host completed the handshake."""
        self._finish(_classify_duration(self._loop.read_clock() - self._due_s + CONNECT_TIMEOUT_S))

    def handle_data(self, data: bytes) -> None:
        """Do nothing; no request is sent, so that no response is expected."""

    def handle_closed(self, error: OSError | None) -> None:
        """Report a refused connection or another failure."""
        duration_s = self._loop.read_clock() - self._due_s + CONNECT_TIMEOUT_S
        self._finish(_classify_error(error, duration_s))

    def _expire(self) -> None:
        self._finish(_classify_timeout(self._loop.read_clock() - self._due_s))

    def _finish(self, result: ProbeResult) -> None:
        self._timer.cancel()
        self._stream.close()
        self._on_result(result)


def probe_connection(loop: Loop, address: Endpoint, on_result: ProbeCallback) -> None:
    """Probe an upstream with a TCP connection that is closed without sending a request.

    :param on_result: called once with the result.
    """
    _ConnectionProbe(loop, address, on_result)


def probe_identity(
    loop: Loop, address: Endpoint, path: str, upstream: UpstreamId, on_result: ProbeCallback
) -> None:
    """Probe an upstream by its health check, and compare the server's id.

    :param path: path of the health check.
    :param upstream: the expected id.
    :param on_result: called once with the result.
    """
    client = HttpClient(loop, address)
    started_s = loop.read_clock()

    def handle_result(result: HttpResult) -> None:
        client.close()
        duration_s = loop.read_clock() - started_s
        if isinstance(result, HttpResponse):
            on_result(_classify_identity(read_identity(result.headers), upstream, duration_s))
        elif isinstance(result, HttpTimeout) and result.late_s > MAX_TIMER_DELAY_S:
            on_result(ProbeResult.DISCARDED)
        elif client.was_connected:
            on_result(ProbeResult.SILENT)
        elif isinstance(result, HttpFailure):
            on_result(_classify_error(result.error, duration_s))
        else:
            on_result(ProbeResult.TIMEOUT)

    client.get(path, IDENTITY_TIMEOUT_S, handle_result)


def _classify_identity(
    identity: UpstreamId, expected: UpstreamId, duration_s: float
) -> ProbeResult:
    if not identity:
        return ProbeResult.SILENT
    return _classify_duration(duration_s) if identity == expected else ProbeResult.OTHER_SERVER


def _classify_duration(duration_s: float) -> ProbeResult:
    is_slow = duration_s > SLOW_CONNECT_S
    return ProbeResult.CONNECTED_SLOWLY if is_slow else ProbeResult.CONNECTED


def _classify_error(error: OSError | None, duration_s: float) -> ProbeResult:
    if isinstance(error, ConnectionRefusedError):
        return ProbeResult.REFUSED
    if isinstance(error, ConnectionResetError):
        is_slow = duration_s > SLOW_CONNECT_S
        return ProbeResult.RESET_SLOWLY if is_slow else ProbeResult.RESET
    return ProbeResult.TIMEOUT


def _classify_timeout(late_s: float) -> ProbeResult:
    return ProbeResult.DISCARDED if late_s > MAX_TIMER_DELAY_S else ProbeResult.TIMEOUT

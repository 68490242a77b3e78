"""HTTP/1.1 over streams, parsed by ``httptools``: a client and a minimal server."""

import socket
from collections.abc import Callable

import httptools
from msgspec import Struct

from chicoryproxy.endpoint import Endpoint
from chicoryproxy.eventloop.loop import Loop, Timer
from chicoryproxy.eventloop.stream import Listener, Stream, StreamHandler, open_stream

CONTENT_LENGTH = b"content-length"
REASON_PHRASES = {200: "OK", 404: "Not Found", 503: "Service Unavailable"}


class HttpResponse(Struct, frozen=True):
    """A response that a client received.

    :param headers: values by lower-case header name.
    :param keeps_alive: the connection can be reused for another request.
    """

    status: int
    headers: dict[bytes, bytes]
    body: bytes
    keeps_alive: bool


class HttpTimeout(Struct, frozen=True):
    """The response did not arrive before the deadline.

    :param late_s: seconds between the deadline and the moment the timer fired.
    """

    late_s: float


class HttpFailure(Struct, frozen=True):
    """The connection failed before a response was complete.

    :param error: ``None`` if the server closed the connection without an error.
    """

    error: OSError | None


class HttpTooLarge(Struct, frozen=True):
    """The body has more bytes than allowed; it was not received in full."""


class TransferLimits(Struct, frozen=True):
    """Limits of a response that has begun to arrive.

    :param silence_s: longest time without another byte, in seconds.
    :param total_s: longest time until it is complete, in seconds.
    :param body_bytes: largest size of its body.
    """

    silence_s: float
    total_s: float
    body_bytes: int


HttpResult = HttpResponse | HttpTimeout | HttpFailure | HttpTooLarge


class HttpClient(StreamHandler):
    """A client with one connection to a server and at most one request in flight.

    The first request opens the connection; the next request after a failure reopens it.

    :ivar answered_s: when the last response began to arrive, in seconds.
    :ivar was_connected: the server accepted the last connection, whether it answered or not.
    """

    def __init__(self, loop: Loop, server: Endpoint) -> None:
        self._loop = loop
        self._server = server
        self._stream: Stream | None = None
        self._server_changed = False
        self.was_connected = False
        self._parser: httptools.HttpResponseParser | None = None
        self._headers: dict[bytes, bytes] = {}
        self._body = bytearray()
        self._response: HttpResponse | None = None
        self._on_result: Callable[[HttpResult], None] | None = None
        self._timer: Timer | None = None
        self._due_s = 0.0
        self._limits: TransferLimits | None = None
        self._has_begun = False
        self._is_too_large = False
        self.answered_s = float("-inf")

    def set_server(self, server: Endpoint) -> None:
        """Send the next and later requests to another server."""
        if server != self._server:
            self._server = server
            self._server_changed = True

    def get(
        self,
        target: str,
        timeout_s: float,
        on_result: Callable[[HttpResult], None],
        limits: TransferLimits | None = None,
    ) -> None:
        """Send a GET request.

        :param target: the request target, which is the path and the query.
        :param timeout_s: time until the response is complete; with ``limits`` until it begins.
        :param on_result: called once with the result, unless ``close`` is called first.
        :param limits: limits of the response once it has begun, which may be large.
        """
        if self._server_changed and self._stream is not None:
            self._stream.close()
        self._server_changed = False
        if self._stream is None or self._stream.is_closed:
            self._parser = httptools.HttpResponseParser(self)
            self.was_connected = False
            self._stream = open_stream(self._loop, self._server, self)
        self._on_result = on_result
        self._limits = limits
        self._has_begun = False
        self._due_s = self._loop.read_clock() + timeout_s
        self._timer = self._loop.call_later(timeout_s, self._expire)
        head = f"GET {target} HTTP/1.1\r\nHost: {self._server.host}:{self._server.port}\r\n\r\n"
        self._stream.write(head.encode("ascii"))

    def close(self) -> None:
        """Close the connection and cancel the pending request without calling back."""
        self._on_result = None
        if self._timer is not None:
            self._timer.cancel()
        if self._stream is not None:
            self._stream.close()

    def handle_connected(self) -> None:
        """Record it; the stream sends the buffered request by itself."""
        self.was_connected = True

    def handle_data(self, data: bytes) -> None:
        """Pass received bytes to the parser; a response that can't be parsed is a failure."""
        assert self._parser is not None
        self._record_arrival()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._finish(HttpFailure(ConnectionAbortedError(str(error))), keep_open=False)
            return
        if self._is_too_large:
            self._body.clear()
            self._finish(HttpTooLarge(), keep_open=False)
            return
        # Outside the parser, which would take an exception of the receiver for its own.
        response, self._response = self._response, None
        if response is not None:
            self._finish(response, keep_open=response.keeps_alive)

    def handle_closed(self, error: OSError | None) -> None:
        """Fail the pending request."""
        self._finish(HttpFailure(error), keep_open=False)

    def on_message_begin(self) -> None:
        """Reset the state for a new response; called by the parser."""
        self._headers = {}
        self._body.clear()
        self._is_too_large = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; called by the parser."""
        self._headers[name.lower()] = value

    def on_headers_complete(self) -> None:
        """Check the size that the headers name; called by the parser."""
        size = self._headers.get(CONTENT_LENGTH, b"0")
        self._check_size(int(size) if size.isdigit() else 0)

    def on_body(self, body: bytes) -> None:
        """Append a part of the body; called by the parser."""
        if not self._is_too_large:
            self._body += body
            self._check_size(len(self._body))

    def on_message_complete(self) -> None:
        """Deliver the response; called by the parser."""
        assert self._parser is not None
        keeps_alive = self._parser.should_keep_alive()
        status = self._parser.get_status_code()
        self._response = HttpResponse(status, self._headers, bytes(self._body), keeps_alive)

    def _check_size(self, size: int) -> None:
        if self._limits is not None and size > self._limits.body_bytes:
            self._is_too_large = True

    def _record_arrival(self) -> None:
        """Let a response go on for which bytes have arrived, within its limits."""
        if not self._has_begun:
            self._has_begun = True
            self.answered_s = self._loop.get_arrival_s()
        if self._limits is not None:
            silent_until_s = self._loop.read_clock() + self._limits.silence_s
            self._due_s = min(silent_until_s, self.answered_s + self._limits.total_s)

    def _expire(self) -> None:
        # The deadline may have moved since the timer was set, with each part of the response.
        late_s = self._loop.read_clock() - self._due_s
        if late_s < 0.0:
            self._timer = self._loop.call_later(-late_s, self._expire)
        else:
            self._finish(HttpTimeout(late_s), keep_open=False)

    def _finish(self, result: HttpResult, keep_open: bool) -> None:
        on_result, self._on_result = self._on_result, None
        if self._timer is not None:
            self._timer.cancel()
        if not keep_open and self._stream is not None:
            self._stream.close()
        if on_result is not None:
            on_result(result)


class ServerResponse(Struct, frozen=True):
    """The response that a server sends."""

    status: int
    body: bytes = b""


class _ServerConnection(StreamHandler):
    """An accepted connection; each request is answered as soon as it is complete."""

    def __init__(self, respond: Callable[[str], ServerResponse]) -> None:
        self.stream: Stream | None = None
        self._respond = respond
        self._parser = httptools.HttpRequestParser(self)
        self._path = ""

    def handle_data(self, data: bytes) -> None:
        """Pass received bytes to the parser; close the connection if they can't be parsed."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            if self.stream is not None:
                self.stream.close()

    def handle_connected(self) -> None:
        """Do nothing; an accepted connection is already open."""

    def handle_closed(self, error: OSError | None) -> None:
        """Do nothing; no state outlives the connection."""

    def on_message_begin(self) -> None:
        """Reset the state for a new request; called by the parser."""
        self._path = ""

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target; called by the parser."""
        self._path += url.decode("ascii", "replace")

    def on_message_complete(self) -> None:
        """Send the response; called by the parser."""
        if self.stream is None:
            return
        response = self._respond(self._path)
        head = (
            f"HTTP/1.1 {response.status} {REASON_PHRASES.get(response.status, '')}\r\n"
            "Content-Type: text/plain; version=0.0.4\r\n"
            f"Content-Length: {len(response.body)}\r\n\r\n"
        )
        self.stream.write(head.encode("ascii") + response.body)
        if not self._parser.should_keep_alive():
            self.stream.close_when_sent()


class HttpServer:
    """Serves HTTP requests; the method isn't checked.

    :param respond: returns the response to a request target.
    """

    def __init__(
        self, loop: Loop, address: Endpoint, respond: Callable[[str], ServerResponse]
    ) -> None:
        self._loop = loop
        self._respond = respond
        self._listener = Listener(loop, address, self._serve)

    @property
    def port(self) -> int:
        """The port that the server listens on, also if it was bound to port 0."""
        return self._listener.port

    def close(self) -> None:
        """Stop accepting connections."""
        self._listener.close()

    def _serve(self, sock: socket.socket) -> None:
        connection = _ServerConnection(self._respond)
        connection.stream = Stream(self._loop, sock, connection)
        connection.stream.accept()

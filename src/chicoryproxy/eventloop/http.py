"""HTTP/1.1 over streams, parsed by ``httptools``: a client connection and a small server."""

import socket
from collections.abc import Callable

import httptools
from msgspec import Struct

from chicoryproxy.eventloop.loop import Loop, Timer
from chicoryproxy.eventloop.stream import Listener, Stream, StreamHandler, open_stream
from chicoryproxy.model import Endpoint

REASON_PHRASES = {200: "OK", 404: "Not Found", 503: "Service Unavailable"}


class HttpResponse(Struct, frozen=True):
    """An answer to a call.

    :param headers: by names in lower case.
    :param keeps_alive: the connection may be used again.
    """

    status: int
    headers: dict[bytes, bytes]
    body: bytes
    keeps_alive: bool


class HttpTimeout(Struct, frozen=True):
    """No answer came in time.

    :param late_s: how much later than asked the timer fired, in seconds.
    """

    late_s: float


class HttpFailure(Struct, frozen=True):
    """The connection failed.

    :param error: ``None`` if the other end closed it without an error.
    """

    error: OSError | None


HttpResult = HttpResponse | HttpTimeout | HttpFailure


class HttpClient(StreamHandler):
    """One connection to a server; one call at a time.

    The connection is opened by the first call and again after a failure.
    """

    def __init__(self, loop: Loop, server: Endpoint) -> None:
        self._loop = loop
        self._server = server
        self._stream: Stream | None = None
        self._server_changed = False
        self._parser: httptools.HttpResponseParser | None = None
        self._headers: dict[bytes, bytes] = {}
        self._body = bytearray()
        self._on_result: Callable[[HttpResult], None] | None = None
        self._timer: Timer | None = None

    def set_server(self, server: Endpoint) -> None:
        """Use another server from the next call on."""
        if server != self._server:
            self._server = server
            self._server_changed = True

    def get(self, target: str, timeout_s: float, on_result: Callable[[HttpResult], None]) -> None:
        """Send a GET.

        :param on_result: called once with the result, unless ``close`` is called before.
        """
        if self._server_changed and self._stream is not None:
            self._stream.close()
        self._server_changed = False
        if self._stream is None or self._stream.is_closed:
            self._parser = httptools.HttpResponseParser(self)
            self._stream = open_stream(self._loop, self._server, self)
        self._on_result = on_result
        due_s = self._loop.read_clock() + timeout_s
        self._timer = self._loop.call_later(timeout_s, lambda: self._expire(due_s))
        head = f"GET {target} HTTP/1.1\r\nHost: {self._server.host}:{self._server.port}\r\n\r\n"
        self._stream.write(head.encode("ascii"))

    def close(self) -> None:
        """Close the connection and forget the call."""
        self._on_result = None
        if self._timer is not None:
            self._timer.cancel()
        if self._stream is not None:
            self._stream.close()

    def handle_connected(self) -> None:
        """The bytes that wait are sent by the stream."""

    def handle_data(self, data: bytes) -> None:
        """Feed the parser."""
        assert self._parser is not None
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._finish(HttpFailure(ConnectionAbortedError(str(error))), keep=False)

    def handle_closed(self, error: OSError | None) -> None:
        """End a call that waits."""
        self._finish(HttpFailure(error), keep=False)

    def on_message_begin(self) -> None:
        """Begin an answer; called by the parser."""
        self._headers = {}
        self._body.clear()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header; called by the parser."""
        self._headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        """Take a part of the body; called by the parser."""
        self._body += body

    def on_message_complete(self) -> None:
        """Hand the answer on; called by the parser."""
        assert self._parser is not None
        keeps_alive = self._parser.should_keep_alive()
        status = self._parser.get_status_code()
        answer = HttpResponse(status, self._headers, bytes(self._body), keeps_alive)
        self._finish(answer, keep=keeps_alive)

    def _expire(self, due_s: float) -> None:
        self._finish(HttpTimeout(self._loop.read_clock() - due_s), keep=False)

    def _finish(self, result: HttpResult, keep: bool) -> None:
        on_result, self._on_result = self._on_result, None
        if self._timer is not None:
            self._timer.cancel()
        if not keep and self._stream is not None:
            self._stream.close()
        if on_result is not None:
            on_result(result)


class ServerResponse(Struct, frozen=True):
    """What a server sends back."""

    status: int
    body: bytes = b""


class _ServerConnection(StreamHandler):
    """One accepted connection that answers GET at once."""

    def __init__(self, answer: Callable[[str], ServerResponse]) -> None:
        self.stream: Stream | None = None
        self._answer = answer
        self._parser = httptools.HttpRequestParser(self)
        self._path = ""

    def handle_data(self, data: bytes) -> None:
        """Feed the parser; close on what it can't parse."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            if self.stream is not None:
                self.stream.close()

    def handle_connected(self) -> None:
        """An accepted connection is open already."""

    def handle_closed(self, error: OSError | None) -> None:
        """The client has left; nothing waits for it."""

    def on_message_begin(self) -> None:
        """Begin a request; called by the parser."""
        self._path = ""

    def on_url(self, url: bytes) -> None:
        """Take a part of the target; called by the parser."""
        self._path += url.decode("ascii", "replace")

    def on_message_complete(self) -> None:
        """Send the reply; called by the parser."""
        if self.stream is None:
            return
        reply = self._answer(self._path)
        head = (
            f"HTTP/1.1 {reply.status} {REASON_PHRASES.get(reply.status, '')}\r\n"
            f"Content-Type: text/plain; version=0.0.4\r\nContent-Length: {len(reply.body)}\r\n\r\n"
        )
        self.stream.write(head.encode("ascii") + reply.body)
        if not self._parser.should_keep_alive():
            self.stream.close_when_sent()


class HttpServer:
    """Answers GET requests.

    :param answer: returns the reply for a path.
    """

    def __init__(
        self, loop: Loop, address: Endpoint, answer: Callable[[str], ServerResponse]
    ) -> None:
        self._loop = loop
        self._answer = answer
        self._listener = Listener(loop, address, self._serve)

    @property
    def port(self) -> int:
        """The port that the server listens on."""
        return self._listener.port

    def close(self) -> None:
        """Accept no more connections."""
        self._listener.close()

    def _serve(self, sock: socket.socket) -> None:
        connection = _ServerConnection(self._answer)
        connection.stream = Stream(self._loop, sock, connection)
        connection.stream.accept()

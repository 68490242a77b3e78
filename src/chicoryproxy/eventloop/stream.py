"""Non-blocking TCP connections on the event loop: outgoing, accepted, and their listener."""

import errno
import socket
from abc import ABC, abstractmethod
from collections.abc import Callable

from chicoryproxy.endpoint import Endpoint
from chicoryproxy.eventloop.loop import Loop

READ_BYTES = 256 * 1024
LISTEN_BACKLOG = 64


class StreamHandler(ABC):
    """Receives the events of a connection."""

    @abstractmethod
    def handle_connected(self) -> None:
        """Handle that an outgoing connection is established."""

    @abstractmethod
    def handle_data(self, data: bytes) -> None:
        """Handle received bytes."""

    @abstractmethod
    def handle_closed(self, error: OSError | None) -> None:
        """Handle the end of the connection.

        :param error: why it failed; ``None`` if the other end closed it.
        """


class Stream:
    """A TCP connection with a send buffer.

    :param handler: receives the events; not called after ``close``.
    """

    def __init__(self, loop: Loop, sock: socket.socket, handler: StreamHandler) -> None:
        self.is_closed = False
        self._loop = loop
        self._socket = sock
        self._handler = handler
        self._send_buffer = bytearray()
        self._is_connected = False
        self._should_close_when_sent = False

    def connect(self, address: Endpoint) -> None:
        """Start connecting; the handler learns of the result from the loop."""
        code = self._socket.connect_ex((address.host, address.port))
        if code not in (0, errno.EINPROGRESS):
            # Report through the loop, like later failures, and not from within this call.
            self._loop.call_later(0.0, lambda: self._fail(_create_error(code)))
            return
        self._loop.watch(self._socket, on_writable=self._finish_connect)

    def accept(self) -> None:
        """Start reading from an established connection."""
        self._is_connected = True
        self._update_watch()

    def write(self, data: bytes) -> None:
        """Send bytes, buffering those that the connection doesn't accept yet."""
        if self.is_closed:
            return
        self._send_buffer += data
        if self._is_connected:
            self._flush()

    def close(self) -> None:
        """Close immediately and drop unsent bytes; the handler isn't called."""
        if not self.is_closed:
            self.is_closed = True
            self._loop.unwatch(self._socket)
            self._socket.close()

    def close_when_sent(self) -> None:
        """Close after the buffered bytes have been sent."""
        if not self._send_buffer:
            self.close()
        else:
            self._should_close_when_sent = True

    def _finish_connect(self) -> None:
        code = self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            self._fail(_create_error(code))
            return
        self._is_connected = True
        self._update_watch()
        self._handler.handle_connected()

    def _update_watch(self) -> None:
        on_writable = self._flush if self._send_buffer else None
        self._loop.watch(self._socket, on_readable=self._read, on_writable=on_writable)

    def _flush(self) -> None:
        try:
            sent = self._socket.send(self._send_buffer)
        except BlockingIOError:
            sent = 0
        except OSError as error:
            self._fail(error)
            return
        del self._send_buffer[:sent]
        if not self._send_buffer and self._should_close_when_sent:
            self.close()
            return
        self._update_watch()

    def _read(self) -> None:
        try:
            data = self._socket.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self._fail(error)
            return
        if data:
            self._handle_data(data)
        else:
            self._fail(None)

    def _handle_data(self, data: bytes) -> None:
        try:
            self._handler.handle_data(data)
        except Exception:
            # The handler may have lost its place in the byte stream.
            self.close()
            raise

    def _fail(self, error: OSError | None) -> None:
        if not self.is_closed:
            self.close()
            self._handler.handle_closed(error)


def open_stream(loop: Loop, address: Endpoint, handler: StreamHandler) -> Stream:
    """Create a stream and start connecting it."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    stream = Stream(loop, sock, handler)
    stream.connect(address)
    return stream


class Listener:
    """Listens on a TCP address and accepts connections.

    :param serve: called with the socket of each accepted connection.
    """

    def __init__(
        self, loop: Loop, address: Endpoint, serve: Callable[[socket.socket], None]
    ) -> None:
        self._loop = loop
        self._serve = serve
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._socket.setblocking(False)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind((address.host, address.port))
        self._socket.listen(LISTEN_BACKLOG)
        loop.watch(self._socket, on_readable=self._accept)

    @property
    def port(self) -> int:
        """The port that the listener is bound to."""
        port: int = self._socket.getsockname()[1]
        return port

    def close(self) -> None:
        """Stop accepting connections."""
        self._loop.unwatch(self._socket)
        self._socket.close()

    def _accept(self) -> None:
        try:
            sock, _ = self._socket.accept()
        except OSError:
            # The client has already disconnected, or no file descriptor is free. The socket stays
            # readable while a connection is pending, so that the next event retries.
            return
        sock.setblocking(False)
        self._serve(sock)


def _create_error(code: int) -> OSError:
    return OSError(code, errno.errorcode.get(code, "unknown"))

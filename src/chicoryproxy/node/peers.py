"""Sockets between entries: heartbeats by UDP, changes by TCP on the same port."""

import socket
import struct
from collections.abc import Callable, Iterable

from chicoryproxy.eventloop.loop import Loop
from chicoryproxy.eventloop.packetsocket import PacketSocket
from chicoryproxy.eventloop.stream import Listener, Stream, StreamHandler, open_stream
from chicoryproxy.forwarding.peermessages import (
    MAX_MESSAGE_BYTES,
    ChangesReply,
    ChangesRequest,
    Heartbeat,
    PeerMessage,
    decode_message,
    encode_message,
)
from chicoryproxy.model import Endpoint

CHANGES_TIMEOUT_S = 1.0
_LENGTH = struct.Struct("!I")


class HeartbeatSocket:
    """Sends and receives heartbeats.

    :param receive: called with each heartbeat.

    :ivar undecoded: datagrams that were no heartbeat.
    :ivar bytes_sent: since the start.
    """

    def __init__(self, loop: Loop, address: Endpoint, receive: Callable[[Heartbeat], None]) -> None:
        self.undecoded = 0
        self.bytes_sent = 0
        self._receive = receive
        self._socket = PacketSocket(loop, address, self._decode)
        self._socket.start_reading()

    def send(self, heartbeat: Heartbeat, targets: Iterable[Endpoint]) -> None:
        """Send a heartbeat to several peers."""
        data = encode_message(heartbeat)
        for target in targets:
            self._socket.send(data, (target.host, target.port))
            self.bytes_sent += len(data)

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()

    def _decode(self, data: bytes) -> None:
        message = decode_message(data)
        if isinstance(message, Heartbeat):
            self._receive(message)
        else:
            self.undecoded += 1


def _encode_frame(message: PeerMessage) -> bytes:
    """Return the bytes of a message after their length."""
    body = encode_message(message)
    return _LENGTH.pack(len(body)) + body


class _FrameDecoder:
    """Cuts a stream of bytes into messages that follow their length."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> bytes | None:
        """Take bytes; return a message once it is whole.

        :raises ValueError: if the length is out of bounds.
        """
        self._buffer += data
        if len(self._buffer) < _LENGTH.size:
            return None
        (size,) = _LENGTH.unpack_from(self._buffer)
        if size > MAX_MESSAGE_BYTES:
            raise ValueError(f"message of {size} bytes")
        end = _LENGTH.size + size
        return bytes(self._buffer[_LENGTH.size : end]) if len(self._buffer) >= end else None


class _ChangesConnection(StreamHandler):
    """Answers one request for changes and closes."""

    def __init__(self, answer: Callable[[ChangesRequest], ChangesReply]) -> None:
        self.stream: Stream | None = None
        self._answer = answer
        self._frame_decoder = _FrameDecoder()

    def handle_connected(self) -> None:
        """An accepted connection is open already."""

    def handle_closed(self, error: OSError | None) -> None:
        """The peer has left; it asks again if it needs to."""

    def handle_data(self, data: bytes) -> None:
        """Answer a request when it is whole."""
        assert self.stream is not None
        try:
            frame = self._frame_decoder.feed(data)
        except ValueError:
            self.stream.close()
            return
        if frame is None:
            return
        request = decode_message(frame)
        if isinstance(request, ChangesRequest):
            self.stream.write(_encode_frame(self._answer(request)))
        self.stream.close_when_sent()


class ChangesServer:
    """Answers peers that ask for changes.

    :param answer: returns what the sender of a request is missing.
    """

    def __init__(
        self, loop: Loop, address: Endpoint, answer: Callable[[ChangesRequest], ChangesReply]
    ) -> None:
        self._loop = loop
        self._answer = answer
        self._listener = Listener(loop, address, self._serve)

    def close(self) -> None:
        """Accept no more connections."""
        self._listener.close()

    def _serve(self, sock: socket.socket) -> None:
        exchange = _ChangesConnection(self._answer)
        exchange.stream = Stream(self._loop, sock, exchange)
        exchange.stream.accept()


class ChangesClient(StreamHandler):
    """Asks a peer for the changes that this entry does not know.

    :param on_result: called once with the reply, or with ``None`` if none came in time.
    """

    def __init__(
        self,
        loop: Loop,
        peer: Endpoint,
        request: ChangesRequest,
        on_result: Callable[[ChangesReply | None], None],
    ) -> None:
        self._on_result: Callable[[ChangesReply | None], None] | None = on_result
        self._frame_decoder = _FrameDecoder()
        self._timer = loop.call_later(CHANGES_TIMEOUT_S, lambda: self._finish(None))
        self._stream: Stream = open_stream(loop, peer, self)
        self._stream.write(_encode_frame(request))

    def handle_connected(self) -> None:
        """The bytes that wait are sent by the stream."""

    def handle_data(self, data: bytes) -> None:
        """Take the reply when it is whole."""
        try:
            frame = self._frame_decoder.feed(data)
        except ValueError:
            self._finish(None)
            return
        if frame is not None:
            reply = decode_message(frame)
            self._finish(reply if isinstance(reply, ChangesReply) else None)

    def handle_closed(self, error: OSError | None) -> None:
        """End without a reply."""
        self._finish(None)

    def _finish(self, reply: ChangesReply | None) -> None:
        on_result, self._on_result = self._on_result, None
        self._timer.cancel()
        self._stream.close()
        if on_result is not None:
            on_result(reply)

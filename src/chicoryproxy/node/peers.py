"""Transport between entries: heartbeats over UDP, changes over TCP on the same port."""

import socket
import struct
from collections.abc import Callable, Iterable

from chicoryproxy.endpoint import Endpoint
from chicoryproxy.eventloop.loop import Loop
from chicoryproxy.eventloop.packetsocket import PacketSocket
from chicoryproxy.eventloop.stream import Listener, Stream, StreamHandler, open_stream
from chicoryproxy.forwarding.peers.peermessages import (
    MAX_MESSAGE_BYTES,
    ChangesReply,
    ChangesRequest,
    Heartbeat,
    PeerMessage,
    decode_message,
    encode_message,
)

CHANGES_TIMEOUT_S = 1.0
_LENGTH = struct.Struct("!I")


class HeartbeatSocket:
    """Sends and receives heartbeats.

    :param receive: called with each received heartbeat.

    :ivar undecoded: number of received datagrams that weren't heartbeats.
    :ivar bytes_sent: bytes of heartbeats sent since the start.
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
    """Encode a message with its length as a prefix."""
    body = encode_message(message)
    return _LENGTH.pack(len(body)) + body


class _FrameDecoder:
    """Decodes the first length-prefixed message of a byte stream."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> bytes | None:
        """Append received bytes.

        :returns: the message once it is complete, ``None`` until then.
        :raises ValueError: if the length exceeds the limit.
        """
        self._buffer += data
        if len(self._buffer) < _LENGTH.size:
            return None
        (size,) = _LENGTH.unpack_from(self._buffer)
        if size > MAX_MESSAGE_BYTES:
            raise ValueError(f"message of {size} bytes is too large")
        end = _LENGTH.size + size
        return bytes(self._buffer[_LENGTH.size : end]) if len(self._buffer) >= end else None


class _ChangesConnection(StreamHandler):
    """An accepted connection; it is closed after one request for changes has been answered."""

    def __init__(self, answer: Callable[[ChangesRequest], ChangesReply]) -> None:
        self.stream: Stream | None = None
        self._answer = answer
        self._frame_decoder = _FrameDecoder()

    def handle_connected(self) -> None:
        """Do nothing; an accepted connection is already open."""

    def handle_closed(self, error: OSError | None) -> None:
        """Do nothing; the peer sends its request again if it still needs the changes."""

    def handle_data(self, data: bytes) -> None:
        """Answer the request once it is complete."""
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
    """Answers peers' requests for changes.

    :param answer: returns the reply to a request.
    """

    def __init__(
        self, loop: Loop, address: Endpoint, answer: Callable[[ChangesRequest], ChangesReply]
    ) -> None:
        self._loop = loop
        self._answer = answer
        self._listener = Listener(loop, address, self._serve)

    def close(self) -> None:
        """Stop accepting connections."""
        self._listener.close()

    def _serve(self, sock: socket.socket) -> None:
        connection = _ChangesConnection(self._answer)
        connection.stream = Stream(self._loop, sock, connection)
        connection.stream.accept()


class ChangesClient(StreamHandler):
    """Requests the changes that this entry is missing from a peer.

    The request is sent on creation.

    :param on_result: called once with the reply, or with ``None`` if the request fails or times
        out.
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
        self._stream: Stream = open_stream(loop, peer, self)
        self._timer = loop.call_later(CHANGES_TIMEOUT_S, lambda: self._finish(None))
        self._stream.write(_encode_frame(request))

    def handle_connected(self) -> None:
        """Do nothing; the stream sends the buffered request."""

    def handle_data(self, data: bytes) -> None:
        """Deliver the reply once it is complete."""
        try:
            frame = self._frame_decoder.feed(data)
        except ValueError:
            self._finish(None)
            return
        if frame is not None:
            reply = decode_message(frame)
            self._finish(reply if isinstance(reply, ChangesReply) else None)

    def handle_closed(self, error: OSError | None) -> None:
        """Report that no reply was received."""
        self._finish(None)

    def _finish(self, reply: ChangesReply | None) -> None:
        on_result, self._on_result = self._on_result, None
        self._timer.cancel()
        self._stream.close()
        if on_result is not None:
            on_result(reply)

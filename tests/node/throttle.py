"""A stand-in for a slow link to the store."""

from chicoryproxy.eventloop.stream import Listener, Stream, StreamHandler, open_stream
from chicoryproxy.model import Endpoint
from tests.node.fakestore import HOST

STEP_S = 0.01


class _End(StreamHandler):
    """One end of a relayed connection."""

    def __init__(self, receive):
        self.stream = None
        self.other = None
        self._receive = receive

    def handle_connected(self):
        """Do nothing; the stream sends buffered data by itself."""

    def handle_closed(self, error):
        """Close the other end."""
        self.other.stream.close()

    def handle_data(self, data):
        """Pass on the data."""
        self._receive(self, data)


class SlowLink:
    """Relays connections to a store; its answers pass at the bandwidth of the link.

    :ivar mbps: bandwidth in megabits per second; zero if nothing passes.
    :ivar passed_bytes: bytes of answers that have passed.
    """

    def __init__(self, loop, target, mbps):
        self.mbps = mbps
        self.passed_bytes = 0
        self._loop = loop
        self._target = target
        self._listener = Listener(loop, Endpoint(HOST, 0), self._serve)
        self._queue = []
        self._last_s = loop.read_clock()
        self._allowed_bytes = 0.0
        loop.call_repeatedly(lambda: STEP_S, self._pass)

    @property
    def address(self):
        """The address that stands for the store."""
        return Endpoint(HOST, self._listener.port)

    def _serve(self, sock):
        near = _End(lambda end, data: end.other.stream.write(data))
        far = _End(lambda end, data: self._queue.append((end.other.stream, data)))
        near.other, far.other = far, near
        near.stream = Stream(self._loop, sock, near)
        far.stream = open_stream(self._loop, self._target, far)
        near.stream.accept()

    def _pass(self):
        now = self._loop.read_clock()
        self._allowed_bytes += (now - self._last_s) * self.mbps * 1e6 / 8
        self._last_s = now
        if not self._queue:
            self._allowed_bytes = 0.0
        while self._queue and self._allowed_bytes >= 1:
            stream, data = self._queue.pop(0)
            part, rest = data[: int(self._allowed_bytes)], data[int(self._allowed_bytes) :]
            if stream.is_closed:
                continue
            stream.write(part)
            self.passed_bytes += len(part)
            self._allowed_bytes -= len(part)
            if rest:
                self._queue.insert(0, (stream, rest))

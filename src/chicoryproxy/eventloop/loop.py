"""Single-threaded event loop of the entry: sockets, timers and signals.

It uses ``selectors`` instead of ``asyncio``, whose import costs more than that of all other modules
together (``docs/design/house-style.md``). A process that restarts after a power loss serves earlier
without it.
"""

import heapq
import itertools
import math
import selectors
import signal
import socket
import time
from collections.abc import Callable

STANDSTILL_S = 0.2
"""Time between two polls from which the process counts as having stood still; timers of the entry
keep it at a quarter of this."""

Callback = Callable[[], None]
ErrorHandler = Callable[[Exception], None]


def _ignore() -> None:
    """Replace the callback of a cancelled timer or of a signal without a handler."""


def read_clock() -> float:
    """Return a monotonic time in seconds that also advances while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Timer:
    """A callback that is called once at its deadline unless it is cancelled."""

    __slots__ = ("callback", "is_cancelled")

    def __init__(self, callback: Callback) -> None:
        self.callback = callback
        self.is_cancelled = False

    def cancel(self) -> None:
        """Cancel the callback."""
        self.is_cancelled = True
        self.callback = _ignore


class _Handlers:
    """The callbacks of a watched socket."""

    __slots__ = ("on_readable", "on_writable")

    def __init__(self, on_readable: Callback | None, on_writable: Callback | None) -> None:
        self.on_readable = on_readable
        self.on_writable = on_writable


class Loop:
    """Dispatches socket, timer and signal events to callbacks until it is stopped.

    :ivar on_error: called with each exception that a callback raises, after which the loop goes on;
        ``None`` to let it end ``run``.
    """

    def __init__(self) -> None:
        self.on_error: ErrorHandler | None = None
        self._selector = selectors.DefaultSelector()
        self._timers: list[tuple[float, int, Timer]] = []
        self._timer_numbers = itertools.count()
        self._previous_poll_s = read_clock()
        self._is_running = False
        self._signals: dict[int, Callback] = {}
        self._wakeup_writer, self._wakeup_reader = socket.socketpair()
        self._wakeup_writer.setblocking(False)
        self._wakeup_reader.setblocking(False)
        self.watch(self._wakeup_reader, on_readable=self._handle_wakeup)

    def read_clock(self) -> float:
        """Return the loop's monotonic time in seconds."""
        return read_clock()

    def get_arrival_s(self) -> float:
        """Return when the data that is read now may have arrived, in seconds.

        A process that stood still reads late what arrived meanwhile; all that had arrived before
        the end of the previous poll was read then.
        """
        now = read_clock()
        return now if now - self._previous_poll_s < STANDSTILL_S else self._previous_poll_s

    def call_later(self, delay_s: float, callback: Callback) -> Timer:
        """Schedule a callback after a delay in seconds."""
        timer = Timer(callback)
        heapq.heappush(self._timers, (read_clock() + delay_s, next(self._timer_numbers), timer))
        return timer

    def call(self, callback: Callback) -> None:
        """Call a callback; an exception that it raises is reported and goes no further."""
        try:
            callback()
        except Exception as error:
            self.report_error(error)

    def report_error(self, error: Exception) -> None:
        """Report an unexpected error, or raise it if nobody handles errors."""
        if self.on_error is None:
            raise error
        self.on_error(error)

    def call_repeatedly(self, get_interval_s: Callable[[], float], callback: Callback) -> None:
        """Call a callback at once, and again after each interval, also if it raises an exception.

        :param get_interval_s: returns the delay after each call, in seconds.
        """

        def call_and_repeat() -> None:
            try:
                callback()
            finally:
                self.call_later(get_interval_s(), call_and_repeat)

        self.call(call_and_repeat)

    def watch(
        self,
        sock: socket.socket,
        on_readable: Callback | None = None,
        on_writable: Callback | None = None,
    ) -> None:
        """Register the callbacks of a socket, in place of any registered before."""
        events = selectors.EVENT_READ if on_readable else 0
        if on_writable:
            events |= selectors.EVENT_WRITE
        handlers = _Handlers(on_readable, on_writable)
        if sock in self._selector.get_map():
            self._selector.modify(sock, events, handlers)
        else:
            self._selector.register(sock, events, handlers)

    def unwatch(self, sock: socket.socket) -> None:
        """Remove the callbacks of a socket; unknown and closed sockets are ignored."""
        if sock.fileno() >= 0 and sock in self._selector.get_map():
            self._selector.unregister(sock)

    def add_signal_handler(self, number: int, callback: Callback) -> None:
        """Register a callback that the loop calls when a signal arrives."""
        self._signals[number] = callback
        signal.set_wakeup_fd(self._wakeup_writer.fileno(), warn_on_full_buffer=False)
        signal.signal(number, lambda *_: None)

    def run(self) -> None:
        """Run until ``stop`` is called.

        An event of a socket that happened before the deadline of a timer is handled before it:
        a timer that becomes due while this process is busy waits for the next poll.
        """
        self._is_running = True
        while self._is_running:
            polled_s = read_clock()
            deadline_s = self._timers[0][0] if self._timers else math.inf
            timeout_s = max(0.0, deadline_s - polled_s) if self._timers else None
            ready = self._selector.select(timeout_s)
            ready_s = read_clock()
            for key, events in ready:
                self._handle_ready(key, events)
            quiet_until_s = polled_s if ready else max(polled_s, deadline_s)
            self._run_timers(min(quiet_until_s, read_clock()))
            self._previous_poll_s = ready_s

    def stop(self) -> None:
        """Make ``run`` return after the current iteration."""
        self._is_running = False

    def close(self) -> None:
        """Close the file descriptors of the loop."""
        if self._signals:
            signal.set_wakeup_fd(-1)
        self._selector.close()
        self._wakeup_writer.close()
        self._wakeup_reader.close()

    def _handle_ready(self, key: selectors.SelectorKey, events: int) -> None:
        handlers: _Handlers = key.data
        if events & selectors.EVENT_WRITE and handlers.on_writable:
            self.call(handlers.on_writable)
        if events & selectors.EVENT_READ and handlers.on_readable:
            self.call(handlers.on_readable)

    def _run_timers(self, limit_s: float) -> None:
        while self._timers and self._timers[0][0] <= limit_s:
            _, _, timer = heapq.heappop(self._timers)
            self.call(timer.callback)

    def _handle_wakeup(self) -> None:
        for number in self._wakeup_reader.recv(64):
            self.call(self._signals.get(number, _ignore))

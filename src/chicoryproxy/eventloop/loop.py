"""Event loop of the entry: sockets, timers and signals on one thread.

It stands on ``selectors`` alone. A process that starts again after a power loss serves earlier
without ``asyncio``, whose import costs more than all other modules together
(``docs/design/house-style.md``).
"""

import heapq
import itertools
import selectors
import signal
import socket
import time
from collections.abc import Callable

Callback = Callable[[], None]


def _ignore() -> None:
    """Stand for a call that was taken back."""


def read_clock() -> float:
    """Return seconds on a clock that also counts while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Timer:
    """A call that is due once."""

    __slots__ = ("callback", "is_cancelled")

    def __init__(self, callback: Callback) -> None:
        self.callback = callback
        self.is_cancelled = False

    def cancel(self) -> None:
        """Take the call back."""
        self.is_cancelled = True
        self.callback = _ignore


class _Handlers:
    """What to call when a socket is ready."""

    __slots__ = ("on_readable", "on_writable")

    def __init__(self, on_readable: Callback | None, on_writable: Callback | None) -> None:
        self.on_readable = on_readable
        self.on_writable = on_writable


class Loop:
    """Calls handlers of sockets, timers and signals until it is stopped."""

    def __init__(self) -> None:
        self._selector = selectors.DefaultSelector()
        self._timers: list[tuple[float, int, Timer]] = []
        self._timer_numbers = itertools.count()
        self._is_running = False
        self._signals: dict[int, Callback] = {}
        self._wakeup_writer, self._wakeup_reader = socket.socketpair()
        self._wakeup_writer.setblocking(False)
        self._wakeup_reader.setblocking(False)
        self.watch(self._wakeup_reader, on_readable=self._handle_wakeup)

    def read_clock(self) -> float:
        """Return the time of the loop, in seconds."""
        return read_clock()

    def call_later(self, delay_s: float, callback: Callback) -> Timer:
        """Call after a delay in seconds."""
        timer = Timer(callback)
        heapq.heappush(self._timers, (read_clock() + delay_s, next(self._timer_numbers), timer))
        return timer

    def watch(
        self,
        sock: socket.socket,
        on_readable: Callback | None = None,
        on_writable: Callback | None = None,
    ) -> None:
        """Call when a socket is readable or writable; replaces what was asked before."""
        events = selectors.EVENT_READ if on_readable else 0
        if on_writable:
            events |= selectors.EVENT_WRITE
        handlers = _Handlers(on_readable, on_writable)
        if sock in self._selector.get_map():
            self._selector.modify(sock, events, handlers)
        else:
            self._selector.register(sock, events, handlers)

    def unwatch(self, sock: socket.socket) -> None:
        """Watch a socket no longer."""
        if sock.fileno() >= 0 and sock in self._selector.get_map():
            self._selector.unregister(sock)

    def add_signal_handler(self, number: int, callback: Callback) -> None:
        """Call on the loop when a signal arrives."""
        self._signals[number] = callback
        signal.set_wakeup_fd(self._wakeup_writer.fileno(), warn_on_full_buffer=False)
        signal.signal(number, lambda *_: None)

    def run(self) -> None:
        """Run until ``stop`` is called."""
        self._is_running = True
        while self._is_running:
            for key, events in self._selector.select(self._get_timeout_s()):
                self._handle_ready(key, events)
            self._run_timers()

    def stop(self) -> None:
        """End ``run`` after the calls that are due."""
        self._is_running = False

    def close(self) -> None:
        """Give the loop's descriptors back."""
        self._selector.close()
        self._wakeup_writer.close()
        self._wakeup_reader.close()

    def _handle_ready(self, key: selectors.SelectorKey, events: int) -> None:
        handlers: _Handlers = key.data
        if events & selectors.EVENT_WRITE and handlers.on_writable:
            handlers.on_writable()
        if events & selectors.EVENT_READ and handlers.on_readable:
            handlers.on_readable()

    def _get_timeout_s(self) -> float | None:
        if not self._timers:
            return None
        return max(0.0, self._timers[0][0] - read_clock())

    def _run_timers(self) -> None:
        now = read_clock()
        while self._timers and self._timers[0][0] <= now:
            _, _, timer = heapq.heappop(self._timers)
            timer.callback()

    def _handle_wakeup(self) -> None:
        for number in self._wakeup_reader.recv(64):
            self._signals.get(number, _ignore)()

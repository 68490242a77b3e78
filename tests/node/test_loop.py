"""Order of the events of sockets and timers, and errors of their handlers."""

import signal
import socket
import time

import pytest

from chicoryproxy.eventloop.loop import Loop
from chicoryproxy.eventloop.stream import Stream, StreamHandler


def test_an_event_before_the_deadline_of_a_timer_comes_before_the_timer(loop):
    """Busy loop: the event arrives while another one is handled, and so does the deadline."""
    order = []
    first, first_writer = socket.socketpair()
    second, second_writer = socket.socketpair()

    def block():
        loop.unwatch(first)
        second_writer.send(b"x")
        time.sleep(0.05)

    def handle_event():
        loop.unwatch(second)
        order.append("event")

    def handle_timer():
        order.append("timer")
        loop.stop()

    with first, first_writer, second, second_writer:
        loop.watch(first, on_readable=block)
        loop.watch(second, on_readable=handle_event)
        loop.call_later(0.03, handle_timer)
        first_writer.send(b"x")
        loop.run()
    assert order == ["event", "timer"]


def test_timers_run_although_there_are_always_events(loop):
    reader, writer = socket.socketpair()
    with reader, writer:
        writer.send(b"x")
        loop.watch(reader, on_readable=lambda: None)
        started_s = loop.read_clock()
        loop.call_later(0.03, loop.stop)
        loop.run()
    assert 0.03 <= loop.read_clock() - started_s < 1.0


def test_no_timer_runs_before_its_deadline_if_a_poll_ends_early(loop, monkeypatch):
    monkeypatch.setattr(loop._selector, "select", lambda timeout_s: [])
    started_s = loop.read_clock()
    loop.call_later(0.03, loop.stop)
    loop.run()
    assert loop.read_clock() - started_s >= 0.03


def fail():
    """Raise an error, as a handler with a fault does."""
    raise LookupError("fault")


def test_an_error_in_a_handler_of_each_kind_ends_neither_the_loop_nor_other_handlers(loop):
    """A malformed message meets a fault in a timer, a socket's handler or a signal's handler."""
    errors = []
    loop.on_error = errors.append
    reader, writer = socket.socketpair()

    def fail_to_read():
        reader.recv(1)
        fail()

    former = signal.getsignal(signal.SIGUSR1)
    loop.add_signal_handler(signal.SIGUSR1, fail)
    with reader, writer:
        loop.watch(reader, on_readable=fail_to_read)
        writer.send(b"x")
        loop.call_later(0.0, fail)
        loop.call_later(0.01, lambda: signal.raise_signal(signal.SIGUSR1))
        loop.call_later(0.05, loop.stop)
        loop.run()
    signal.signal(signal.SIGUSR1, former)
    assert [type(error) for error in errors] == [LookupError] * 3


def test_a_repeated_callback_goes_on_after_an_error(loop):
    """The heartbeats of an entry must not stop for good because one could not be sent."""
    calls = []
    loop.on_error = lambda error: None

    def fail_once():
        calls.append(loop.read_clock())
        if len(calls) == 1:
            fail()
        if len(calls) == 3:
            loop.stop()

    loop.call_repeatedly(lambda: 0.005, fail_once)
    loop.run()
    assert len(calls) == 3


def test_without_an_error_handler_an_error_ends_the_loop(loop):
    loop.call_later(0.0, fail)
    with pytest.raises(LookupError):
        loop.run()


def test_a_connection_whose_handler_fails_is_closed(loop):
    """The rest of a byte stream means nothing after a message that could not be handled."""

    class FailingHandler(StreamHandler):
        def handle_connected(self):
            """Do nothing."""

        def handle_data(self, data):
            """Fail."""
            fail()

        def handle_closed(self, error):
            """Do nothing."""

    errors = []
    loop.on_error = errors.append
    reader, writer = socket.socketpair()
    reader.setblocking(False)
    with writer:
        stream = Stream(loop, reader, FailingHandler())
        stream.accept()
        writer.send(b"x")
        loop.call_later(0.03, loop.stop)
        loop.run()
    assert stream.is_closed
    assert len(errors) == 1


def test_a_closed_loop_gets_no_more_signals():
    """Its descriptors may belong to others by then."""
    loop = Loop()
    loop.add_signal_handler(signal.SIGUSR1, lambda: None)
    loop.close()
    signal.signal(signal.SIGUSR1, signal.SIG_DFL)
    assert signal.set_wakeup_fd(-1) == -1

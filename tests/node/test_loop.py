"""Order of the events of sockets and timers."""

import socket
import time


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

"""Writing log lines never blocks the entry, and dropped lines are counted."""

import json
import os

import pytest

from chicoryproxy.node.journal import BURST_LINES, MAX_BUFFERED_BYTES, Journal


@pytest.fixture
def pipe():
    """A pipe that nothing reads unless the test does."""
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def create_journal(writer, now=lambda: 5.0):
    """Create a journal that writes to a pipe."""
    return Journal("entry-1", lambda: 1000.0, now, writer)


def test_lines_are_json_objects(pipe):
    reader, writer = pipe
    journal = create_journal(writer)
    journal.write("start", domain="shah-alam")
    journal.flush()
    line = json.loads(os.read(reader, 4096))
    assert line == {
        "time": 1000.0,
        "instance": "entry-1",
        "event": "start",
        "domain": "shah-alam",
    }


def test_a_full_pipe_does_not_block(pipe):
    reader, writer = pipe
    journal = create_journal(writer)
    for number in range(20_000):
        journal.write("refuse", number=number)
        journal.flush()
    assert journal.lost > 0
    received = os.read(reader, 1 << 20)
    journal.flush()
    received += os.read(reader, 1 << 20)
    assert json.loads(received.split(b"\n")[0])["number"] == 0


def test_only_frequent_events_are_rate_limited(pipe):
    _, writer = pipe
    journal = create_journal(writer)
    for _ in range(500):
        journal.write_rate_limited("open")
    assert journal.skipped == 500 - BURST_LINES
    for _ in range(500):
        journal.write("refuse")
    assert journal.lost == 0


def test_an_output_without_reader_does_not_end_the_entry():
    reader, writer = os.pipe()
    journal = create_journal(writer)
    os.close(reader)
    journal.write("start")
    journal.flush()
    assert journal.lost == 1
    os.close(writer)
    assert MAX_BUFFERED_BYTES > 0

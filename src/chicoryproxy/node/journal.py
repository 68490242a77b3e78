"""Structured log of the entry: JSON lines on standard output, written without blocking.

Lines are encoded immediately and written in batches. While the output pipe is full, lines stay in
a bounded buffer; lines that don't fit are dropped and counted. Frequent events are rate-limited.
Refusals, resets and changes of the view are not.
"""

import os
from collections.abc import Callable
from typing import Any

import msgspec

MAX_BUFFERED_BYTES = 256 * 1024
LINES_PER_S = 150.0
"""Sustained rate limit of frequent events."""

BURST_LINES = 300.0
"""Capacity of the rate limit's token bucket."""


class Journal:
    """Buffers log lines and writes them to a file descriptor.

    :param wall_clock: returns the time in seconds since 1970, for the ``time`` field.
    :param monotonic: returns a monotonic time in seconds, for the rate limit.
    :param descriptor: file descriptor to write to; it is made non-blocking.

    :ivar lost: number of lines dropped because the buffer was full or the output was closed.
    :ivar skipped: number of lines dropped by the rate limit.
    """

    def __init__(
        self,
        instance: str,
        wall_clock: Callable[[], float],
        monotonic: Callable[[], float],
        descriptor: int = 1,
    ) -> None:
        self.lost = 0
        self.skipped = 0
        self._instance = instance
        self._wall_clock = wall_clock
        self._monotonic = monotonic
        self._descriptor = descriptor
        self._encode = msgspec.json.Encoder().encode
        self._buffer = bytearray()
        self._tokens = BURST_LINES
        self._refilled_s = monotonic()
        os.set_blocking(descriptor, False)

    def write(self, event: str, **fields: Any) -> None:
        """Write a line without a rate limit."""
        line = self._encode(
            {
                "time": round(self._wall_clock(), 3),
                "instance": self._instance,
                "event": event,
                **fields,
            }
        )
        if len(self._buffer) + len(line) >= MAX_BUFFERED_BYTES:
            self.lost += 1
            return
        self._buffer += line
        self._buffer += b"\n"

    def write_rate_limited(self, event: str, **fields: Any) -> None:
        """Write a line, or drop and count it if the rate limit is exceeded."""
        now = self._monotonic()
        self._tokens = min(BURST_LINES, self._tokens + (now - self._refilled_s) * LINES_PER_S)
        self._refilled_s = now
        if self._tokens < 1.0:
            self.skipped += 1
            return
        self._tokens -= 1.0
        self.write(event, **fields)

    def flush(self) -> None:
        """Write as much of the buffer as the output accepts."""
        if not self._buffer:
            return
        try:
            written = os.write(self._descriptor, self._buffer)
        except BlockingIOError:
            return
        except OSError:
            # The reader closed the pipe. Drop the lines; forwarding must continue.
            self.lost += self._buffer.count(b"\n")
            written = len(self._buffer)
        del self._buffer[:written]

"""Structured log of the entry: one JSON object a line on standard output, without waiting.

Lines are encoded at once and written in batches. A pipe that is full takes no line: the line waits
in a bounded buffer, and what does not fit is counted. Repetitive lines have a budget a second;
refusals, resets and changes of belief do not fall under it.
"""

import os
from collections.abc import Callable
from typing import Any

import msgspec

MAX_BUFFERED_BYTES = 256 * 1024
LINES_PER_S = 150.0
BURST_LINES = 300.0


class Journal:
    """Writes log lines.

    :param wall_clock: time of day in seconds since 1970, for the lines.
    :param monotonic: clock of the budget, in seconds.
    :param descriptor: file descriptor that takes the lines; it is made non-blocking.

    :ivar lost: lines that found the buffer full.
    :ivar skipped: lines over the budget.
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
        """Write a line that must not be left out."""
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
        """Write a line that is left out, and counted, when there are too many."""
        now = self._monotonic()
        self._tokens = min(BURST_LINES, self._tokens + (now - self._refilled_s) * LINES_PER_S)
        self._refilled_s = now
        if self._tokens < 1.0:
            self.skipped += 1
            return
        self._tokens -= 1.0
        self.write(event, **fields)

    def flush(self) -> None:
        """Write what the output takes."""
        if not self._buffer:
            return
        try:
            written = os.write(self._descriptor, self._buffer)
        except BlockingIOError:
            return
        except OSError:
            # Nobody reads the log any more; forwarding goes on.
            self.lost += self._buffer.count(b"\n")
            written = len(self._buffer)
        del self._buffer[:written]

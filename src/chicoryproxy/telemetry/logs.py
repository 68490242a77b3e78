"""Structured logs in JSON or human-readable format, and the log of routing decisions.

Every message starts with the fixed prefix of the part that logs it. The packet path only appends
routing decisions to a bounded queue; ``RouteLog.flush`` formats and writes them. Logging never
blocks: a line that finds the queue or the output buffer full is dropped and counted as lost.

In JSON format, the routing decisions of one flush are encoded by ``msgspec`` and written in
batches, because a line through ``logging`` and ``pythonjsonlogger`` costs more processor time than
forwarding a packet.
"""

import logging
import select
import sys
import time
from collections import deque
from collections.abc import Iterable, Iterator
from enum import Enum
from typing import Any, TextIO

from msgspec import Struct
from msgspec.json import Encoder
from pythonjsonlogger.msgspec import MsgspecFormatter

from chicoryproxy.configuration.logformat import LogFormat
from chicoryproxy.protocol.actions import LogControl, LogRoute
from chicoryproxy.states import DropReason, RefusalReason, RouteReason

MAX_QUEUED_DECISIONS = 8192
MAX_DECISIONS_PER_FLUSH = 256
MAX_PENDING_LINES = 1024
EXIT_FLUSH_TIMEOUT_S = 1.0
MAX_SAMPLING_KEYS = 65_536
ROUTE_PART = "route"
MAX_BATCH_BYTES = select.PIPE_BUF
"""A write of this size does not block on a pipe that ``select`` reports as writable."""

_ROOT_LOGGER = "chicoryproxy"
_RESERVED_FIELDS = frozenset(vars(logging.makeLogRecord({}))) | {
    "message",
    "asctime",
    "taskName",
    "part",
}


class PartLogger(logging.LoggerAdapter[logging.Logger]):
    """Logger of one part of the system.

    Messages get the name of the part as a prefix. Keyword arguments other than ``exc_info`` and
    ``stack_info`` become fields of the line.
    """

    def __init__(self, part: str) -> None:
        super().__init__(logging.getLogger(f"{_ROOT_LOGGER}.{part}"), {"part": part})
        self._prefix = part + ": "

    def process(self, msg: Any, kwargs: Any) -> tuple[str, Any]:
        """Add the prefix to the message and the fields to the record."""
        options = {key: kwargs.pop(key) for key in ("exc_info", "stack_info") if key in kwargs}
        # ``logging`` raises a ``KeyError`` for a field named like a record attribute.
        fields = {
            key + "_" if key in _RESERVED_FIELDS else key: value for key, value in kwargs.items()
        }
        return f"{self._prefix}{msg}", {**options, "extra": {**(self.extra or {}), **fields}}


class _HumanFormatter(logging.Formatter):
    """Formats a line as time, level, message and ``key=value`` fields."""

    def __init__(self) -> None:
        super().__init__("%(asctime)s %(levelname)-7s %(message)s")

    def format(self, record: logging.LogRecord) -> str:
        text = super().format(record)
        fields = (
            f"{key}={value}"
            for key, value in vars(record).items()
            if key not in _RESERVED_FIELDS and value is not None
        )
        return " ".join((text, *fields))


class OutputHandler(logging.Handler):
    """Writes lines to a stream without blocking.

    Lines that cannot be written at once stay in a bounded buffer until the next line or ``drain``.

    :param stream: stream to write to.

    :ivar lost: number of lines dropped because the buffer was full.
    :ivar is_json: whether the format is JSON, so that ``write_lines`` may be given encoded lines.
    """

    def __init__(self, stream: TextIO) -> None:
        super().__init__()
        self.lost = 0
        self.is_json = False
        self._stream = stream
        self._pending: deque[str] = deque()

    @property
    def is_blocked(self) -> bool:
        """True while the buffer holds lines."""
        return bool(self._pending)

    def write_lines(self, lines: Iterable[str]) -> None:
        """Write or buffer lines that are already encoded."""
        for line in lines:
            if len(self._pending) >= MAX_PENDING_LINES:
                self.lost += 1
            else:
                self._pending.append(line)
        self.drain()

    def emit(self, record: logging.LogRecord) -> None:
        """Write or buffer a record."""
        if len(self._pending) >= MAX_PENDING_LINES:
            self.lost += 1
            return
        try:
            self._pending.append(self.format(record) + "\n")
            self.drain()
        except Exception:
            self.handleError(record)

    def drain(self, timeout_s: float = 0.0) -> None:
        """Write the buffered lines as far as the stream accepts them.

        :param timeout_s: time to wait for the stream before each batch, in seconds.
        """
        while self._pending and self._is_writable(timeout_s):
            self._stream.write("".join(self._pop_batch()))
            self._stream.flush()

    def _pop_batch(self) -> list[str]:
        """Remove up to ``MAX_BATCH_BYTES`` of lines from the buffer, at least one line."""
        batch = [self._pending.popleft()]
        size = _count_bytes(batch[0])
        while self._pending:
            size += _count_bytes(self._pending[0])
            if size > MAX_BATCH_BYTES:
                break
            batch.append(self._pending.popleft())
        return batch

    def _is_writable(self, timeout_s: float) -> bool:
        try:
            _, ready, _ = select.select((), (self._stream,), (), timeout_s)
        except (OSError, ValueError):
            # The stream has no file descriptor.
            return True
        return bool(ready)


def _count_bytes(line: str) -> int:
    return len(line) if line.isascii() else len(line.encode())


class _SamplingKey(Struct, frozen=True):
    reason: Enum
    service: str | None
    target: str | None
    version: int


class RouteLine(Struct, frozen=True):
    """A routing decision as a JSON line; starts with the keys that all lines have."""

    time: str
    level: str
    part: str
    message: str
    reason: str
    service: str | None
    flow: str | None
    slot: int | None
    version: int
    target: str | None


_encode = Encoder().encode
_MESSAGES: dict[Enum, str] = {
    reason: f"{kind.__name__.removesuffix('Reason').lower()} {reason.value}."
    for kind in (RouteReason, DropReason, RefusalReason)
    for reason in kind
}


class RouteLog:
    """Bounded queue of routing decisions that are logged outside the packet path.

    Decisions with the same reason, service, target and version are sampled: the first is logged,
    then one in ``sample``. Refusals are always logged.

    :param sample: sampling interval; 1 logs every decision.
    :param capacity: largest number of queued decisions.

    :ivar lost: number of decisions dropped because the queue was full.
    :ivar skipped: number of decisions left out by sampling.
    """

    def __init__(self, sample: int = 1, capacity: int = MAX_QUEUED_DECISIONS) -> None:
        self.lost = 0
        self.skipped = 0
        self._sample = max(1, sample)
        self._capacity = capacity
        self._queue: deque[LogRoute] = deque()
        self._repeat_counts: dict[_SamplingKey, int] = {}
        self._log = PartLogger(ROUTE_PART)
        self._lost_reported = 0

    def __len__(self) -> int:
        return len(self._queue)

    def add(self, decision: LogRoute) -> None:
        """Queue a decision unless sampling leaves it out or the queue is full."""
        if self._sample > 1 and self._is_sampled_out(decision):
            self.skipped += 1
        elif len(self._queue) >= self._capacity:
            self.lost += 1
        else:
            self._queue.append(decision)

    def flush(self, limit: int = MAX_DECISIONS_PER_FLUSH) -> int:
        """Write the oldest queued decisions.

        :param limit: largest number of decisions to write.
        :returns: number of decisions left in the queue.
        """
        decisions = [self._queue.popleft() for _ in range(min(limit, len(self._queue)))]
        output = _get_json_output()
        if output is not None:
            output.write_lines(_encode_lines(decisions))
        else:
            for decision in decisions:
                self._write(decision)
        if self.lost > self._lost_reported:
            self._log.warning(
                "Queue was full; routing decisions were not logged.",
                lines=self.lost - self._lost_reported,
            )
            self._lost_reported = self.lost
        return len(self._queue)

    def _is_sampled_out(self, decision: LogRoute) -> bool:
        if isinstance(decision.reason, RefusalReason):
            return False
        key = _SamplingKey(decision.reason, decision.service, decision.target, decision.version)
        if len(self._repeat_counts) >= MAX_SAMPLING_KEYS and key not in self._repeat_counts:
            self._repeat_counts.clear()
        count = self._repeat_counts.get(key, 0)
        self._repeat_counts[key] = count + 1
        return count % self._sample != 0

    def _write(self, decision: LogRoute) -> None:
        self._log.info(
            _MESSAGES[decision.reason],
            reason=decision.reason.value,
            service=decision.service,
            flow=_format_flow(decision),
            slot=decision.slot,
            version=decision.version,
            target=decision.target,
        )


def _format_flow(decision: LogRoute) -> str | None:
    return None if decision.flow is None else f"{decision.flow:016x}"


def _get_json_output() -> OutputHandler | None:
    """Return the handler of the package's logger if it accepts encoded JSON lines."""
    root = logging.getLogger(_ROOT_LOGGER)
    if len(root.handlers) != 1 or not root.isEnabledFor(logging.INFO):
        return None
    handler = root.handlers[0]
    return handler if isinstance(handler, OutputHandler) and handler.is_json else None


def _encode_lines(decisions: Iterable[LogRoute]) -> Iterator[str]:
    now = time.time()
    seconds_text = time.strftime(logging.Formatter.default_time_format, time.localtime(now))
    timestamp = f"{seconds_text},{int(now % 1.0 * 1000.0):03d}"
    for decision in decisions:
        line = RouteLine(
            timestamp,
            "INFO",
            ROUTE_PART,
            f"{ROUTE_PART}: {_MESSAGES[decision.reason]}",
            decision.reason.value,
            decision.service,
            _format_flow(decision),
            decision.slot,
            decision.version,
            decision.target,
        )
        yield _encode(line).decode() + "\n"


def log_control(decision: LogControl) -> None:
    """Log a decision of the control core under the part that made it."""
    PartLogger(decision.part).info(decision.text, subject=decision.subject)


def configure_logs(log_format: LogFormat, stream: TextIO = sys.stdout) -> OutputHandler:
    """Send the package's log to a stream.

    :param log_format: format of the lines; ``AUTO`` is human-readable on a terminal, else JSON.
    :param stream: stream to write to.
    :returns: the handler, whose ``lost`` counts the dropped lines.
    """
    handler = OutputHandler(stream)
    formatter = _create_formatter(log_format, stream)
    handler.setFormatter(formatter)
    handler.is_json = isinstance(formatter, MsgspecFormatter)
    root = logging.getLogger(_ROOT_LOGGER)
    root.handlers[:] = [handler]
    root.setLevel(logging.INFO)
    root.propagate = False
    return handler


def _create_formatter(log_format: LogFormat, stream: TextIO) -> logging.Formatter:
    is_human = log_format is LogFormat.HUMAN or (log_format is LogFormat.AUTO and stream.isatty())
    if is_human:
        return _HumanFormatter()
    return MsgspecFormatter(
        "%(asctime)s%(levelname)s%(part)s%(message)s",
        rename_fields={"asctime": "time", "levelname": "level"},
    )

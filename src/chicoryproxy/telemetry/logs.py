"""Log lines of the processes, as JSON or for people, and the queue of routing decisions.

Every line starts with the fixed prefix of the part that wrote it. Routing decisions are put into
a bounded queue on the packet path and are formatted and written by ``RouteLog.flush``. A line
that the queue or the output cannot take is counted as lost, never waited for.

In JSON the routing decisions of one flush are encoded by ``msgspec`` and written in batches: the
same line through ``logging`` and ``pythonjsonlogger`` costs more than a packet.
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
"""A pipe that ``select`` reports as writable takes this much without waiting."""

_ROOT_LOGGER = "chicoryproxy"
_RESERVED_FIELDS = frozenset(vars(logging.makeLogRecord({}))) | {
    "message",
    "asctime",
    "taskName",
    "part",
}


class PartLogger(logging.LoggerAdapter[logging.Logger]):
    """Writes lines with the fixed prefix of one part.

    Keyword arguments of the methods that are not those of ``logging`` become fields of the line.
    """

    def __init__(self, part: str) -> None:
        super().__init__(logging.getLogger(f"{_ROOT_LOGGER}.{part}"), {"part": part})
        self._prefix = part + ": "

    def process(self, msg: Any, kwargs: Any) -> tuple[str, Any]:
        """Add the prefix to the text and the fields to the record."""
        options = {key: kwargs.pop(key) for key in ("exc_info", "stack_info") if key in kwargs}
        # logging refuses a field that has the name of one of its own.
        fields = {
            key + "_" if key in _RESERVED_FIELDS else key: value for key, value in kwargs.items()
        }
        return f"{self._prefix}{msg}", {**options, "extra": {**(self.extra or {}), **fields}}


class _HumanFormatter(logging.Formatter):
    """One line for people: time, level, text, then the fields."""

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
    """Writes lines as far as the output can take them without waiting.

    Lines that it cannot take wait in a bounded queue for the next line or ``drain``.

    :ivar lost: lines that found the queue full.
    :ivar is_json: lines that are JSON already may be given to ``write_lines``.
    """

    def __init__(self, stream: TextIO) -> None:
        super().__init__()
        self.lost = 0
        self.is_json = False
        self._stream = stream
        self._pending: deque[str] = deque()

    @property
    def is_blocked(self) -> bool:
        """True while lines wait."""
        return bool(self._pending)

    def write_lines(self, lines: Iterable[str]) -> None:
        """Write lines that are encoded already, or let them wait."""
        for line in lines:
            if len(self._pending) >= MAX_PENDING_LINES:
                self.lost += 1
            else:
                self._pending.append(line)
        self.drain()

    def emit(self, record: logging.LogRecord) -> None:
        """Write the record, or let it wait."""
        if len(self._pending) >= MAX_PENDING_LINES:
            self.lost += 1
            return
        try:
            self._pending.append(self.format(record) + "\n")
            self.drain()
        except Exception:
            self.handleError(record)

    def drain(self, timeout_s: float = 0.0) -> None:
        """Write the lines that wait.

        :param timeout_s: longest time to wait for the output before each batch, in seconds.
        """
        while self._pending and self._is_writable(timeout_s):
            self._stream.write("".join(self._pop_batch()))
            self._stream.flush()

    def _pop_batch(self) -> list[str]:
        """Take as many lines as the output takes without waiting, at least one."""
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
            # The stream has no file behind it.
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
    """A routing decision as a line of JSON, with the keys of the other lines first."""

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
    """Bounded queue of routing decisions, written off the packet path.

    Of equal decisions (reason, service, target and version) the first is written, then one in
    ``sample``. Refusals are always written.

    :param sample: one in how many repeated equal decisions is written; one writes all.

    :ivar lost: decisions that found the queue full.
    :ivar skipped: repeated decisions that the sampling left out.
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
        """Take a decision for writing, unless the sampling leaves it out."""
        if self._sample > 1 and self._is_sampled_out(decision):
            self.skipped += 1
        elif len(self._queue) >= self._capacity:
            self.lost += 1
        else:
            self._queue.append(decision)

    def flush(self, limit: int = MAX_DECISIONS_PER_FLUSH) -> int:
        """Write the oldest decisions.

        :param limit: largest number of lines.
        :returns: how many lines still wait.
        """
        decisions = [self._queue.popleft() for _ in range(min(limit, len(self._queue)))]
        output = _get_json_output()
        if output is not None:
            output.write_lines(_encode_lines(decisions))
        else:
            for decision in decisions:
                self._write(decision)
        if self.lost > self._lost_reported:
            self._log.warning("Lines were lost.", lines=self.lost - self._lost_reported)
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
    """Return the output of this package's lines if it takes encoded ones."""
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
    """Write a decision of the control core under the prefix of its part."""
    PartLogger(decision.part).info(decision.text, subject=decision.subject)


def configure_logs(log_format: LogFormat, stream: TextIO = sys.stdout) -> OutputHandler:
    """Send all lines of this package to a stream.

    :returns: the handler, whose ``lost`` counts the lines that the stream did not take.
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

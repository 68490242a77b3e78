"""Log lines of the processes, as JSON or for people, and the queue of routing decisions.

Every line starts with the fixed prefix of the part that wrote it. Routing decisions are put into
a bounded queue on the packet path and are formatted and written by ``RouteLog.flush``. A line
that the queue or the output cannot take is counted as lost, never waited for.
"""

import logging
import select
import sys
from collections import deque
from enum import Enum, unique
from typing import Any, TextIO

from msgspec import Struct
from pythonjsonlogger.msgspec import MsgspecFormatter

from chicoryproxy.actions import LogControl, LogRoute
from chicoryproxy.states import RefusalReason

QUEUE_LINES = 8192
FLUSH_LINES = 256
OUTPUT_LINES = 1024
EXIT_PATIENCE_S = 1.0
MAX_REPEATED_KEYS = 65_536
ROUTE_PART = "route"

_ROOT = "chicoryproxy"
_RESERVED = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime", "taskName", "part"}


@unique
class LogFormat(Enum):
    """Form of the log lines; ``AUTO`` is ``HUMAN`` on a terminal and ``JSON`` elsewhere."""

    AUTO = "auto"
    HUMAN = "human"
    JSON = "json"


class PartLogger(logging.LoggerAdapter[logging.Logger]):
    """Writes lines with the fixed prefix of one part.

    Keyword arguments of the methods that are not those of ``logging`` become fields of the line.
    """

    def __init__(self, part: str) -> None:
        super().__init__(logging.getLogger(f"{_ROOT}.{part}"), {"part": part})
        self._prefix = part + ": "

    def process(self, msg: Any, kwargs: Any) -> tuple[str, Any]:
        """Add the prefix to the text and the fields to the record."""
        options = {key: kwargs.pop(key) for key in ("exc_info", "stack_info") if key in kwargs}
        # logging refuses a field that has the name of one of its own.
        fields = {key + "_" if key in _RESERVED else key: value for key, value in kwargs.items()}
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
            if key not in _RESERVED and value is not None
        )
        return " ".join((text, *fields))


class OutputHandler(logging.Handler):
    """Writes lines as far as the output can take them without waiting.

    Lines that it cannot take wait in a bounded queue for the next line or ``drain``.

    :ivar lost: lines that found the queue full.
    """

    def __init__(self, stream: TextIO) -> None:
        super().__init__()
        self.lost = 0
        self._stream = stream
        self._waiting: deque[str] = deque()

    @property
    def is_blocked(self) -> bool:
        """True while lines wait."""
        return bool(self._waiting)

    def emit(self, record: logging.LogRecord) -> None:
        """Write the record, or let it wait."""
        if len(self._waiting) >= OUTPUT_LINES:
            self.lost += 1
            return
        try:
            self._waiting.append(self.format(record) + "\n")
            self.drain()
        except Exception:
            self.handleError(record)

    def drain(self, patience_s: float = 0.0) -> None:
        """Write the lines that wait.

        :param patience_s: longest time to wait for the output before each line, in seconds.
        """
        while self._waiting and self._is_writable(patience_s):
            self._stream.write(self._waiting.popleft())
            self._stream.flush()

    def _is_writable(self, patience_s: float) -> bool:
        try:
            _, ready, _ = select.select((), (self._stream,), (), patience_s)
        except (OSError, ValueError):
            # The stream has no file behind it.
            return True
        return bool(ready)


class _RepeatKey(Struct, frozen=True):
    reason: Enum
    service: str | None
    target: str | None
    version: int


class RouteLog:
    """Bounded queue of routing decisions, written off the packet path.

    Of equal decisions (reason, service, target and version) the first is written, then one in
    ``sample``. Refusals are always written.

    :param sample: one in how many repeated equal decisions is written; one writes all.

    :ivar lost: decisions that found the queue full.
    :ivar skipped: repeated decisions that the sampling left out.
    """

    def __init__(self, sample: int = 1, capacity: int = QUEUE_LINES) -> None:
        self.lost = 0
        self.skipped = 0
        self._sample = max(1, sample)
        self._capacity = capacity
        self._queue: deque[LogRoute] = deque()
        self._repeats: dict[_RepeatKey, int] = {}
        self._log = PartLogger(ROUTE_PART)
        self._lost_reported = 0

    def __len__(self) -> int:
        return len(self._queue)

    def add(self, decision: LogRoute) -> None:
        """Take a decision for writing, unless the sampling leaves it out."""
        if self._sample > 1 and self._is_repeated(decision):
            self.skipped += 1
        elif len(self._queue) >= self._capacity:
            self.lost += 1
        else:
            self._queue.append(decision)

    def flush(self, limit: int = FLUSH_LINES) -> int:
        """Write the oldest decisions.

        :param limit: largest number of lines.
        :returns: how many lines still wait.
        """
        for _ in range(min(limit, len(self._queue))):
            self._write(self._queue.popleft())
        if self.lost > self._lost_reported:
            self._log.warning("Lines were lost.", lines=self.lost - self._lost_reported)
            self._lost_reported = self.lost
        return len(self._queue)

    def _is_repeated(self, decision: LogRoute) -> bool:
        if isinstance(decision.reason, RefusalReason):
            return False
        key = _RepeatKey(decision.reason, decision.service, decision.target, decision.version)
        if len(self._repeats) >= MAX_REPEATED_KEYS and key not in self._repeats:
            self._repeats.clear()
        count = self._repeats.get(key, 0)
        self._repeats[key] = count + 1
        return count % self._sample != 0

    def _write(self, decision: LogRoute) -> None:
        kind = type(decision.reason).__name__.removesuffix("Reason").lower()
        self._log.info(
            f"{kind} {decision.reason.value}.",
            reason=decision.reason.value,
            service=decision.service,
            flow=None if decision.flow is None else f"{decision.flow:016x}",
            slot=decision.slot,
            version=decision.version,
            target=decision.target,
        )


def log_control(decision: LogControl) -> None:
    """Write a decision of the control core under the prefix of its part."""
    PartLogger(decision.part).info(decision.text, subject=decision.subject)


def configure_logs(form: LogFormat, stream: TextIO = sys.stdout) -> OutputHandler:
    """Send all lines of this package to a stream.

    :returns: the handler, whose ``lost`` counts the lines that the stream did not take.
    """
    handler = OutputHandler(stream)
    handler.setFormatter(_create_formatter(form, stream))
    root = logging.getLogger(_ROOT)
    root.handlers[:] = [handler]
    root.setLevel(logging.INFO)
    root.propagate = False
    return handler


def _create_formatter(form: LogFormat, stream: TextIO) -> logging.Formatter:
    human = form is LogFormat.HUMAN or (form is LogFormat.AUTO and stream.isatty())
    if human:
        return _HumanFormatter()
    return MsgspecFormatter(
        "%(asctime)s%(levelname)s%(part)s%(message)s",
        rename_fields={"asctime": "time", "levelname": "level"},
    )

"""Parsing and formatting of durations, sizes and percentages."""

import re
from enum import Enum, unique

DURATION_PATTERN = r"^[0-9]{1,9}(\.[0-9]{1,6})?(ms|s|m|h|d)$"
"""A number with a unit, such as ``300s`` or ``1.5m``."""

SIZE_PATTERN = r"^[0-9]{1,9}(B|KB|MB|GB)$"
"""An integer with a unit, such as ``4KB``; 1 KB is 1,024 bytes."""

PERCENT_PATTERN = r"^(100|[0-9]{1,2}(\.[0-9]{1,6})?)%$"
"""A number up to 100 with a percent sign, such as ``10%``."""

_SECONDS_PER_UNIT = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0, "d": 86400.0}
_BYTES_PER_UNIT = {"B": 1, "KB": 1024, "MB": 1024**2, "GB": 1024**3}
_NUMBER_AND_UNIT = re.compile(r"([0-9.]+)([A-Za-z%]+)")


@unique
class QuantityFault(Enum):
    """Why a string is not a valid quantity."""

    NO_DURATION = "not a duration"
    NO_SIZE = "not a size"
    NO_PERCENT = "not a percentage"


def parse_duration(text: str) -> float | QuantityFault:
    """Convert a duration such as ``300s`` to seconds."""
    if not re.fullmatch(DURATION_PATTERN, text):
        return QuantityFault.NO_DURATION
    number, unit = _split_unit(text)
    return float(number) * _SECONDS_PER_UNIT[unit]


def parse_size(text: str) -> int | QuantityFault:
    """Convert a size such as ``4KB`` to bytes."""
    if not re.fullmatch(SIZE_PATTERN, text):
        return QuantityFault.NO_SIZE
    number, unit = _split_unit(text)
    return int(number) * _BYTES_PER_UNIT[unit]


def parse_percent(text: str) -> float | QuantityFault:
    """Convert a percentage such as ``10%`` to a share between 0 and 1."""
    if not re.fullmatch(PERCENT_PATTERN, text):
        return QuantityFault.NO_PERCENT
    number, _ = _split_unit(text)
    return float(number) / 100


def format_duration(seconds: float) -> str:
    """Format a duration with the largest unit that gives an integer."""
    for unit in ("d", "h", "m", "s"):
        count = seconds / _SECONDS_PER_UNIT[unit]
        if count >= 1 and count.is_integer():
            return f"{int(count)}{unit}"
    return f"{seconds * 1000:g}ms"


def format_size(size: int) -> str:
    """Format a size with the largest unit that gives an integer."""
    for unit in ("GB", "MB", "KB"):
        if size and size % _BYTES_PER_UNIT[unit] == 0:
            return f"{size // _BYTES_PER_UNIT[unit]}{unit}"
    return f"{size}B"


def _split_unit(text: str) -> tuple[str, str]:
    parts = _NUMBER_AND_UNIT.fullmatch(text)
    assert parts is not None
    return parts.group(1), parts.group(2)

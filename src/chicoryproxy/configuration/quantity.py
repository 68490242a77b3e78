"""Durations, sizes and shares with their units."""

import re
from enum import Enum, unique

DURATION_PATTERN = r"^[0-9]{1,9}(\.[0-9]{1,6})?(ms|s|m|h|d)$"
"""A number and its unit, such as ``300s`` or ``1.5m``."""

SIZE_PATTERN = r"^[0-9]{1,9}(B|KB|MB|GB)$"
"""A whole number and its unit, such as ``4KB``; 1 KB is 1,024 bytes."""

PERCENT_PATTERN = r"^(100|[0-9]{1,2}(\.[0-9]{1,6})?)%$"
"""A number up to 100 and the percent sign, such as ``10%``."""

_SECONDS_PER_UNIT = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0, "d": 86400.0}
_BYTES_PER_UNIT = {"B": 1, "KB": 1024, "MB": 1024**2, "GB": 1024**3}
_NUMBER_AND_UNIT = re.compile(r"([0-9.]+)([A-Za-z%]+)")


@unique
class QuantityFault(Enum):
    """Why a text is no quantity."""

    NO_DURATION = "no duration"
    NO_SIZE = "no size"
    NO_PERCENT = "no percentage"


def parse_duration(text: str) -> float | QuantityFault:
    """Return the seconds of a duration such as ``300s``."""
    if not re.fullmatch(DURATION_PATTERN, text):
        return QuantityFault.NO_DURATION
    number, unit = _split_unit(text)
    return float(number) * _SECONDS_PER_UNIT[unit]


def parse_size(text: str) -> int | QuantityFault:
    """Return the bytes of a size such as ``4KB``."""
    if not re.fullmatch(SIZE_PATTERN, text):
        return QuantityFault.NO_SIZE
    number, unit = _split_unit(text)
    return int(number) * _BYTES_PER_UNIT[unit]


def parse_percent(text: str) -> float | QuantityFault:
    """Return the share between 0 and 1 of a percentage such as ``10%``."""
    if not re.fullmatch(PERCENT_PATTERN, text):
        return QuantityFault.NO_PERCENT
    number, _ = _split_unit(text)
    return float(number) / 100


def format_duration(seconds: float) -> str:
    """Return a duration as text with the largest unit that keeps it whole."""
    for unit in ("d", "h", "m", "s"):
        count = seconds / _SECONDS_PER_UNIT[unit]
        if count >= 1 and count.is_integer():
            return f"{int(count)}{unit}"
    return f"{seconds * 1000:g}ms"


def format_size(size: int) -> str:
    """Return a size as text with the largest unit that keeps it whole."""
    for unit in ("GB", "MB", "KB"):
        if size and size % _BYTES_PER_UNIT[unit] == 0:
            return f"{size // _BYTES_PER_UNIT[unit]}{unit}"
    return f"{size}B"


def _split_unit(text: str) -> tuple[str, str]:
    parts = _NUMBER_AND_UNIT.fullmatch(text)
    assert parts is not None
    return parts.group(1), parts.group(2)

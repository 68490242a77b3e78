"""Types of the values in configuration files, each with its pattern, title and examples."""

from typing import Annotated, Any

from msgspec import Meta

from chicoryproxy.configuration.conversion import get_hint_metadata
from chicoryproxy.configuration.quantity import (
    DURATION_PATTERN,
    PERCENT_PATTERN,
    SIZE_PATTERN,
    QuantityFault,
    parse_duration,
    parse_percent,
    parse_size,
)

NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$"
"""Pattern of the names of instances, failure domains, regions, services and upstreams."""

MAX_COUNT = 2**31 - 1

_DURATION_TITLE = "a duration with a unit (ms, s, m, h or d)"
_SIZE_TITLE = "a size with a unit (B, KB, MB or GB)"
_PERCENT_TITLE = "a percentage"

Name = Annotated[
    str,
    Meta(
        title="a name of letters, digits, `.`, `_` and `-`, at most 63 characters",
        pattern=NAME_PATTERN,
    ),
]
EndpointText = Annotated[
    str, Meta(title="an IP address and port", examples=["10.0.0.7:6080", "'[2001:db8::7]:6080'"])
]
UrlText = Annotated[str, Meta(title="an HTTP or HTTPS URL", examples=["http://10.0.0.2:8500/path"])]
DurationText = Annotated[
    str, Meta(title=_DURATION_TITLE, pattern=DURATION_PATTERN, examples=["300s", "5m"])
]
SizeText = Annotated[str, Meta(title=_SIZE_TITLE, pattern=SIZE_PATTERN, examples=["4KB"])]
PercentText = Annotated[str, Meta(title=_PERCENT_TITLE, pattern=PERCENT_PATTERN, examples=["10%"])]
Count = Annotated[int, Meta(title="a positive integer", ge=1, le=MAX_COUNT, examples=[1])]
Rate = Annotated[float, Meta(title="a positive number", gt=0, le=MAX_COUNT, examples=[2])]

_PARSERS = {
    _DURATION_TITLE: parse_duration,
    _SIZE_TITLE: parse_size,
    _PERCENT_TITLE: parse_percent,
}


def parse_value(hint: Any, value: Any) -> Any:
    """Convert a value to base units (seconds, bytes, shares) if its type has a unit.

    :param hint: type hint of the key.
    :param value: value that was converted to that type.
    """
    parse = _PARSERS.get(get_hint_metadata(hint).title)
    if parse is None:
        return value
    parsed = parse(value)
    assert not isinstance(parsed, QuantityFault)
    return parsed

"""Decoding of JSON that other programs have written, with one error for all that can be wrong."""

import re
from typing import TypeVar

import msgspec

Value = TypeVar("Value")

_HIGH = rb"\\u[dD][89abAB][0-9a-fA-F]{2}"
_LOW = rb"\\u[dD][c-fC-F][0-9a-fA-F]{2}"
_ESCAPE = _HIGH + _LOW + rb"|" + _HIGH + rb"|" + _LOW + rb"|\\."
"""Compiled when it is first needed, since few processes ever do."""

_LONE_BYTES = 6


class UnreadableValueError(ValueError):
    """The bytes are no JSON of the expected type; the message names the error and its place."""


def decode_json(data: bytes, kind: type[Value]) -> Value:
    """Decode JSON into a type.

    :raises UnreadableValueError: for any bytes that can't be decoded, also those that are nested
        too deeply, for which the decoder raises a ``RecursionError``.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except (ValueError, msgspec.MsgspecError) as error:
        raise UnreadableValueError(str(error)) from error
    except RecursionError as error:
        raise UnreadableValueError("nested too deeply") from error


def replace_lone_surrogates(data: bytes) -> bytes:
    """Replace each escape of half a character, which JSON allows and the decoder doesn't.

    The replacement is U+FFFD, as for bytes that are no UTF-8.
    """
    return re.sub(_ESCAPE, _replace_escape, data, flags=re.DOTALL)


def _replace_escape(match: re.Match[bytes]) -> bytes:
    escape = match[0]
    return rb"\ufffd" if len(escape) == _LONE_BYTES else escape

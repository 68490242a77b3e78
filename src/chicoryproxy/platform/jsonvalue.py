"""Decoding of JSON that other programs have written, with one error for all that can be wrong."""

from typing import TypeVar

import msgspec

Value = TypeVar("Value")


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

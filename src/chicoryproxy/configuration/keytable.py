"""Generates the documentation of the keys from the schemas."""

from collections.abc import Iterator
from enum import Enum
from typing import Any, get_args, get_origin

import msgspec
from msgspec import UNSET, Struct

from chicoryproxy.configuration.conversion import (
    describe_type,
    get_hint_metadata,
    get_hints,
    strip_optional,
)
from chicoryproxy.configuration.layers import KEYS, format_value


class KeyRow(Struct, frozen=True):
    """Documentation of one key.

    :param key: path of the key; ``NAME`` is a placeholder for names chosen by the operator.
    :param kind: description of the valid values.
    :param default: value if the key is missing; "required" if there is no default.
    :param description: documentation of the key.
    """

    key: str
    kind: str
    default: str
    description: str


def list_rows(kind: type[Struct], prefix: str = "") -> Iterator[KeyRow]:
    """Yield the rows of a schema, in the order of its fields."""
    hints = get_hints(kind)
    for field in msgspec.structs.fields(kind):
        hint = hints[field.name]
        key = prefix + field.name
        yield KeyRow(
            key, _describe(hint), _describe_default(key, field), get_hint_metadata(hint).description
        )
        nested = _find_nested(hint)
        if nested:
            yield from list_rows(nested.kind, f"{key}{nested.suffix}.")


def render_rows(kind: type[Struct]) -> str:
    """Return a Markdown table of the keys of a schema."""
    lines = ["| key | value | default | meaning |", "|---|---|---|---|"]
    for row in list_rows(kind):
        lines.append(f"| `{row.key}` | {row.kind} | {row.default} | {row.description} |")
    return "\n".join(lines)


class _Nested(Struct, frozen=True):
    """A struct nested below a key.

    :param suffix: what follows the key in the paths of nested keys.
    """

    kind: type[Struct]
    suffix: str


def _find_nested(hint: Any) -> _Nested | None:
    kind = strip_optional(hint)
    origin = get_origin(kind)
    suffix = ""
    if origin is dict:
        kind, suffix = strip_optional(get_args(kind)[1]), ".NAME"
    elif origin is tuple:
        kind, suffix = strip_optional(get_args(kind)[0]), "[]"
    if isinstance(kind, type) and issubclass(kind, Struct):
        return _Nested(kind, suffix)
    return None


def _describe(hint: Any) -> str:
    kind = strip_optional(hint)
    origin = get_origin(kind)
    if origin is dict:
        return "a mapping of names to their keys"
    if origin is tuple:
        nested = _find_nested(hint)
        return "a list" if nested else f"a list; each entry is {describe_type(get_args(kind)[0])}"
    if _find_nested(hint):
        return "keys"
    return describe_type(hint)


def _describe_default(key: str, field: Any) -> str:
    if field.required:
        return "required"
    layer_key = key.removeprefix("defaults.")
    if layer_key in KEYS and layer_key != key:
        return f"`{format_value(layer_key, KEYS[layer_key].built_in)}`"
    default = field.default
    if isinstance(default, Enum):
        return f"`{default.value}`"
    if default is UNSET or default is None or isinstance(default, Struct) or default in ("", ()):
        return "none"
    return f"`{default}`"

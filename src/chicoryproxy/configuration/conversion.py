"""Converts the parsed data of a document into structs and collects all errors with their positions.

``msgspec.convert`` stops at the first error. This module traverses the structs and passes single
leaf values to msgspec, so that all errors are reported together.
"""

import difflib
import types
from collections.abc import Iterable
from enum import Enum, unique
from functools import cache
from typing import Annotated, Any, TypeVar, Union, cast, get_args, get_origin, get_type_hints

import msgspec
from msgspec import UNSET, Meta, Struct, UnsetType

from chicoryproxy.configuration.document import Data, Document, KeyPath
from chicoryproxy.finding import FindingList

S = TypeVar("S", bound=Struct)

_TYPE_NAMES = {dict: "a mapping", list: "a list", str: "a string", bool: "true or false"}
_TYPE_NAMES |= {int: "an integer", float: "a number", type(None): "null"}


class HintMetadata(Struct, frozen=True):
    """Metadata of a type hint, taken from its ``Meta`` annotations.

    :param title: name of the type for error messages, such as "a duration".
    :param description: documentation of the key.
    :param examples: valid values as they are written in a file.
    """

    title: str
    description: str
    examples: tuple[str, ...]


@unique
class _Invalid(Enum):
    """Sentinel that replaces an invalid value."""

    INVALID = "invalid"


def convert_document(document: Document, kind: type[S], findings: FindingList) -> S:
    """Convert a document into a struct.

    An invalid value is replaced by the default of its key, or by an empty value, so that later
    checks can process the rest of the document.

    :param kind: struct type of the whole document.
    :param findings: list that errors are added to.
    """
    return cast(S, _Converter(document, findings).convert(document.data, kind, ()))


def suggest_name(name: str, known: Iterable[str]) -> str:
    """Return a remedy for an unknown name: the most similar known name, or a list of known names.

    :param name: unknown name.
    :param known: valid names.
    """
    names = sorted(known)
    nearest = difflib.get_close_matches(name, names, n=1)
    if nearest:
        return f"write `{nearest[0]}`"
    if not names:
        return "remove it"
    shown = ", ".join(f"`{known_name}`" for known_name in names[:12])
    return f"write one of {shown}" + (", ..." if len(names) > 12 else "")


@cache
def get_hint_metadata(hint: Any) -> HintMetadata:
    """Return the metadata of a type hint; outer annotations take precedence over inner ones."""
    title, description = "", ""
    examples: tuple[str, ...] = ()
    for meta in reversed(_list_meta(hint)):
        title = title or meta.title or ""
        description = description or meta.description or ""
        examples = examples or tuple(str(example) for example in meta.examples or ())
    return HintMetadata(title, description, examples)


def _list_meta(hint: Any) -> list[Meta]:
    if get_origin(hint) is Annotated:
        inner = _list_meta(get_args(hint)[0])
        return inner + [note for note in hint.__metadata__ if isinstance(note, Meta)]
    if get_origin(hint) in (Union, types.UnionType):
        return [meta for member in get_args(hint) for meta in _list_meta(member)]
    return []


def strip_optional(hint: Any) -> Any:
    """Remove ``Annotated``, ``None`` and ``UNSET`` from a type hint."""
    if get_origin(hint) is Annotated:
        return strip_optional(get_args(hint)[0])
    if get_origin(hint) in (Union, types.UnionType):
        members = [member for member in get_args(hint) if member not in (type(None), UnsetType)]
        if len(members) == 1:
            return strip_optional(members[0])
    return hint


@cache
def get_hints(kind: type[Struct]) -> dict[str, Any]:
    """Return the type hints of the fields of a struct, including their metadata."""
    hints = get_type_hints(kind, include_extras=True)
    return {field.name: hints[field.name] for field in msgspec.structs.fields(kind)}


class _Converter:
    """Traverses data and type hints in parallel."""

    def __init__(self, document: Document, findings: FindingList) -> None:
        self._document = document
        self._findings = findings

    def convert(self, data: Data, hint: Any, path: KeyPath) -> Any:
        if data is None and path:
            remedy = f"write {describe_type(hint)}, or remove the key"
            self._add(path, f"`{path[-1]}` is empty", remedy)
            return _Invalid.INVALID
        kind = strip_optional(hint)
        origin = get_origin(kind)
        if isinstance(kind, type) and issubclass(kind, Struct):
            return self._convert_struct(data, kind, path)
        if origin is dict:
            return self._convert_mapping(data, get_args(kind)[0], get_args(kind)[1], path)
        if origin is tuple:
            return self._convert_sequence(data, get_args(kind)[0], path)
        return self._convert_leaf(data, hint, path)

    def _convert_struct(self, data: Data, kind: type[Struct], path: KeyPath) -> Struct:
        hints = get_hints(kind)
        written = self._require_type(data, dict, path, f"the keys {_format_names(hints)}")
        for key in written.keys() - hints.keys():
            self._add((*path, key), f"unknown key `{key}`", suggest_name(key, hints))
        values: dict[str, Any] = {}
        for field in msgspec.structs.fields(kind):
            key, hint = field.name, hints[field.name]
            value: Any = _Invalid.INVALID
            if key in written:
                value = self.convert(written[key], hint, (*path, key))
            elif field.required and isinstance(data, dict):
                self._add_missing(key, hint, path)
            if value is not _Invalid.INVALID:
                values[key] = value
            elif field.required:
                values[key] = create_empty(hint)
        return kind(**values)

    def _convert_mapping(
        self, data: Data, key_hint: Any, hint: Any, path: KeyPath
    ) -> dict[str, Any]:
        written = self._require_type(data, dict, path, "a mapping of names to their keys")
        converted = {}
        for key, value in written.items():
            if self._convert_leaf(key, key_hint, (*path, key)) is not _Invalid.INVALID:
                converted[key] = self._convert_item(value, hint, (*path, key))
        return converted

    def _convert_sequence(self, data: Data, hint: Any, path: KeyPath) -> tuple[Any, ...]:
        written = self._require_type(data, list, path, "a list, with each entry after a `-`")
        return tuple(
            self._convert_item(value, hint, (*path, index)) for index, value in enumerate(written)
        )

    def _convert_item(self, data: Data, hint: Any, path: KeyPath) -> Any:
        value = self.convert(data, hint, path)
        return create_empty(hint) if value is _Invalid.INVALID else value

    def _convert_leaf(self, data: Data, hint: Any, path: KeyPath) -> Any:
        try:
            return msgspec.convert(data, hint)
        except msgspec.ValidationError as error:
            self._add(path, _describe_error(data, hint, error), _suggest_value(data, hint))
            return _Invalid.INVALID

    def _require_type(self, data: Data, kind: type, path: KeyPath, remedy: str) -> Any:
        if isinstance(data, kind):
            return data
        name = f"`{path[-1]}`" if path else "the document"
        found = _TYPE_NAMES[type(data)]
        self._add(path, f"{name} is {found}, not {_TYPE_NAMES[kind]}", f"write {remedy}")
        return kind()

    def _add_missing(self, key: str, hint: Any, path: KeyPath) -> None:
        description = get_hint_metadata(hint).description
        about = f": {description}" if description else ""
        self._add(path, f"`{key}` is missing", f"add `{key}`{about}")

    def _add(self, path: KeyPath, message: str, remedy: str) -> None:
        self._findings.add(self._document.get_place(path), message, remedy)


def create_empty(hint: Any) -> Any:
    """Return an empty value of a type.

    Later checks ignore empty values, because the error was already reported.
    """
    kind = strip_optional(hint)
    base = get_origin(kind) or kind
    if isinstance(base, type) and issubclass(base, Enum):
        return next(iter(base))
    if isinstance(base, type) and issubclass(base, Struct):
        hints = get_hints(base)
        required = [field.name for field in msgspec.structs.fields(base) if field.required]
        return base(**{name: create_empty(hints[name]) for name in required})
    return base() if base in (str, int, float, bool, dict, tuple) else UNSET


def describe_type(hint: Any) -> str:
    """Return a description of a type for error messages and documentation."""
    title = get_hint_metadata(hint).title
    kind = strip_optional(hint)
    base = get_origin(kind) or kind
    if title:
        return title
    if isinstance(base, type) and issubclass(base, Enum):
        return " or ".join(f"`{_format_member(member)}`" for member in base)
    names: dict[Any, str] = {**_TYPE_NAMES, tuple: "a list"}
    return names.get(base, getattr(base, "__name__", str(base)))


def _format_member(member: Enum) -> str:
    return str(member.value)


def _describe_error(data: Data, hint: Any, error: Exception) -> str:
    shown = data if isinstance(data, str) else _TYPE_NAMES.get(type(data), "a value")
    if isinstance(data, int | float) and not isinstance(data, bool):
        shown = f"{data}"
    reason = str(error).partition(" - ")[0]
    if get_hint_metadata(hint).title or "Expected `" in reason or "enum" in reason:
        reason = f"expected {describe_type(hint)}"
    return f"invalid value `{shown}`: {reason}"


def _suggest_value(data: Data, hint: Any) -> str:
    kind = strip_optional(hint)
    if isinstance(kind, type) and issubclass(kind, Enum):
        return suggest_name(str(data), (_format_member(member) for member in kind))
    examples = get_hint_metadata(hint).examples
    if examples:
        return f"write a value such as {examples[0]}"
    if kind is str and data is not None and not isinstance(data, str | dict | list):
        return f'put it in quotation marks: "{data}"'
    return f"write {describe_type(hint)}"


def _format_names(names: Iterable[str]) -> str:
    return ", ".join(f"`{name}`" for name in names)

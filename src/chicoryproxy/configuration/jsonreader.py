"""Parses JSON documents, which is intended for generated files.

JSON is parsed much faster than YAML, but without line numbers: positions consist of the file name
and the keys of the two topmost levels.
"""

import json
from collections.abc import Iterator
from math import isfinite

from chicoryproxy.configuration.document import Data, Document, DocumentFault, KeyPath
from chicoryproxy.finding import FindingList, Place


def read_json(text: str, source: str, findings: FindingList) -> Document | DocumentFault:
    """Parse a JSON document.

    Duplicate keys are findings; the document contains the first value.

    :param source: file name for positions.
    :param findings: list that errors are added to.
    """

    def build_mapping(pairs: list[tuple[str, Data]]) -> Data:
        data: dict[str, Data] = {}
        for key, value in pairs:
            if key in data:
                findings.add(Place(source), f"duplicate key `{key}`", "keep one of the two")
            data.setdefault(key, value)
        return data

    try:
        data = json.loads(
            text, object_pairs_hook=build_mapping, parse_constant=str, parse_float=_parse_float
        )
    except json.JSONDecodeError as error:
        place = Place(source, error.lineno, error.colno)
        findings.add(
            place, f"invalid JSON: {error.msg}", "correct the syntax at or before this position"
        )
        return DocumentFault.SYNTAX
    except (ValueError, RecursionError):
        findings.add(
            Place(source), "invalid JSON: nesting too deep or number too long", "shorten it"
        )
        return DocumentFault.SYNTAX
    return Document(source, data, dict(_list_places(data, source)))


def _parse_float(text: str) -> float | str:
    number = float(text)
    return number if isfinite(number) else text


def _list_places(data: Data, source: str) -> Iterator[tuple[KeyPath, Place]]:
    """Yield the positions of the two topmost levels, which are also used for values below them."""
    yield (), Place(source)
    for key, value in _list_items(data):
        yield (key,), Place(f"{source} {key}")
        for name, _ in _list_items(value):
            yield (key, name), Place(f"{source} {key}.{name}")


def _list_items(data: Data) -> list[tuple[str | int, Data]]:
    if isinstance(data, dict):
        return list(data.items())
    return list(enumerate(data)) if isinstance(data, list) else []

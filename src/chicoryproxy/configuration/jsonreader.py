"""Reads JSON into plain data, for generated files.

JSON is read much faster than YAML, but its values have no lines: their places name the file and
the keys of the two upper levels.
"""

import json
from collections.abc import Iterator
from math import isfinite

from chicoryproxy.configuration.document import Data, Document, DocumentFault, KeyPath
from chicoryproxy.finding import FindingList, Place


def read_json(text: str, source: str, findings: FindingList) -> Document | DocumentFault:
    """Read JSON text.

    Repeated keys are findings; the document then holds the first.

    :param source: name that places carry.
    :param findings: takes what is wrong.
    """

    def build_mapping(pairs: list[tuple[str, Data]]) -> Data:
        data: dict[str, Data] = {}
        for key, value in pairs:
            if key in data:
                findings.add(Place(source), f"`{key}` is written twice", "keep one of the two")
            data.setdefault(key, value)
        return data

    try:
        data = json.loads(
            text, object_pairs_hook=build_mapping, parse_constant=str, parse_float=_parse_float
        )
    except json.JSONDecodeError as error:
        place = Place(source, error.lineno, error.colno)
        findings.add(place, f"no JSON: {error.msg}", "correct the syntax at or before this place")
        return DocumentFault.SYNTAX
    except (ValueError, RecursionError):
        findings.add(Place(source), "no JSON: nested too deep or a number too long", "shorten it")
        return DocumentFault.SYNTAX
    return Document(source, data, dict(_list_places(data, source)))


def _parse_float(text: str) -> float | str:
    number = float(text)
    return number if isfinite(number) else text


def _list_places(data: Data, source: str) -> Iterator[tuple[KeyPath, Place]]:
    """Yield places for the upper levels, which findings below them name too."""
    yield (), Place(source)
    for key, value in _list_items(data):
        yield (key,), Place(f"{source} {key}")
        for name, _ in _list_items(value):
            yield (key, name), Place(f"{source} {key}.{name}")


def _list_items(data: Data) -> list[tuple[str | int, Data]]:
    if isinstance(data, dict):
        return list(data.items())
    return list(enumerate(data)) if isinstance(data, list) else []

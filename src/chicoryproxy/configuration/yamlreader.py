"""Parses YAML documents and records the source position of each value."""

from math import isfinite
from typing import Any

from ruamel.yaml import YAML
from ruamel.yaml.error import MarkedYAMLError, YAMLError
from ruamel.yaml.nodes import MappingNode, Node, ScalarNode, SequenceNode

from chicoryproxy.configuration.document import Data, Document, DocumentFault, KeyPath
from chicoryproxy.finding import FindingList, Place

MAX_DEPTH = 32

_TAG = "tag:yaml.org,2002:"


def read_yaml(text: str, source: str, findings: FindingList) -> Document | DocumentFault:
    """Parse a YAML document.

    Duplicate keys, aliases, and keys that are not strings are findings; the document contains the
    other values.

    :param text: YAML 1.2.
    :param source: file name for positions.
    :param findings: list that errors are added to.
    """
    try:
        node = YAML(typ="rt").compose(text)
    except MarkedYAMLError as error:
        _add_syntax_finding(error, source, findings)
        return DocumentFault.SYNTAX
    except YAMLError as error:
        message = str(error).splitlines()[0]
        findings.add(Place(source, 1, 1), f"invalid YAML: {message}", "remove the character")
        return DocumentFault.SYNTAX
    except RecursionError:
        _add_depth_finding(Place(source, 1, 1), findings)
        return DocumentFault.SYNTAX
    except (ValueError, TypeError, AttributeError, KeyError, IndexError) as error:
        # ruamel.yaml raises these for some malformed escapes and directives.
        findings.add(Place(source, 1, 1), f"invalid YAML: {error}", "correct the syntax")
        return DocumentFault.SYNTAX
    reader = _NodeReader(source, findings)
    return Document(source, reader.read_root(node), reader.places)


def _add_syntax_finding(error: MarkedYAMLError, source: str, findings: FindingList) -> None:
    mark = error.problem_mark or error.context_mark
    place = Place(source, mark.line + 1, mark.column + 1) if mark else Place(source, 1, 1)
    message = error.problem or error.context or "syntax error"
    findings.add(place, f"invalid YAML: {message}", "correct the syntax at or before this position")


def _add_depth_finding(place: Place, findings: FindingList) -> None:
    findings.add(place, f"nesting deeper than {MAX_DEPTH} levels", "use fewer levels")


class _NodeReader:
    """Converts a graph of YAML nodes to plain data."""

    def __init__(self, source: str, findings: FindingList) -> None:
        self.places: dict[KeyPath, Place] = {}
        self._source = source
        self._findings = findings
        self._visited_ids: set[int] = set()

    def read_root(self, node: Node | None) -> Data:
        if node is None:
            return None
        return self._read(node, (), self._get_place(node))

    def _get_place(self, node: Node) -> Place:
        mark = node.start_mark
        return Place(self._source, mark.line + 1, mark.column + 1)

    def _read(self, node: Node, path: KeyPath, place: Place) -> Data:
        self.places[path] = place
        if isinstance(node, ScalarNode):
            return _read_scalar(node)
        # Aliases could repeat a node without limit, so each node is read only once.
        if id(node) in self._visited_ids:
            self._findings.add(
                place, "aliases aren't supported", "repeat the value, or move it to `defaults`"
            )
            return None
        if len(path) >= MAX_DEPTH:
            _add_depth_finding(place, self._findings)
            return None
        self._visited_ids.add(id(node))
        if isinstance(node, SequenceNode):
            return self._read_sequence(node, path)
        assert isinstance(node, MappingNode)
        return self._read_mapping(node, path)

    def _read_sequence(self, node: SequenceNode, path: KeyPath) -> Data:
        return [
            self._read(child, (*path, index), self._get_place(child))
            for index, child in enumerate(node.value)
        ]

    def _read_mapping(self, node: MappingNode, path: KeyPath) -> Data:
        data: dict[str, Data] = {}
        for key_node, value_node in node.value:
            place = self._get_place(key_node)
            if not isinstance(key_node, ScalarNode):
                self._findings.add(place, "the key is not a string", "use a name as the key")
                continue
            key = str(key_node.value)
            if key in data:
                first = self.places[(*path, key)]
                self._findings.add(
                    place, f"duplicate key `{key}`, first used at {first}", "keep one of the two"
                )
                continue
            data[key] = self._read(value_node, (*path, key), place)
        return data


def _read_scalar(node: ScalarNode) -> Data:
    text = str(node.value)
    tag = str(node.tag).removeprefix(_TAG)
    try:
        return _SCALAR_PARSERS[tag](text) if tag in _SCALAR_PARSERS else text
    except ValueError:
        return text


def _parse_int(text: str) -> int:
    digits = text.replace("_", "")
    # In YAML 1.2 a number with a leading zero is decimal, except for the prefixes 0x and 0o.
    base = 0 if digits.lstrip("+-")[:2] in ("0x", "0o") else 10
    return int(digits, base)


def _parse_float(text: str) -> float:
    number = float(text.replace("_", ""))
    if not isfinite(number):
        raise ValueError(text)
    return number


_SCALAR_PARSERS: dict[str, Any] = {
    "null": lambda text: None,
    "bool": lambda text: text.lower() == "true",
    "int": _parse_int,
    "float": _parse_float,
}

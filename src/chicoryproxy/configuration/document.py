"""Parsed data of a configuration file, with the source position of each value."""

from enum import Enum, unique

from msgspec import Struct

from chicoryproxy.finding import Place

KeyPath = tuple[str | int, ...]
"""Keys and list indices from the root of a document to a value."""

Data = dict[str, "Data"] | list["Data"] | str | int | float | bool | None
"""Parsed data of a document; dates are kept as strings."""


class Document(Struct, frozen=True):
    """Parsed data with the source position of each value.

    :param source: name of the file or folder.
    :param data: parsed data.
    :param places: position of each value by its path; a value of a mapping has the position of its
        key.
    """

    source: str
    data: Data
    places: dict[KeyPath, Place]

    def get_place(self, path: KeyPath) -> Place:
        """Return the position of a value, or of its nearest ancestor with a known position."""
        while path and path not in self.places:
            path = path[:-1]
        return self.places.get(path, Place(self.source, 1, 1))


@unique
class DocumentFault(Enum):
    """Why a document could not be loaded."""

    SYNTAX = "syntax"
    UNREADABLE = "unreadable"

"""Plain data of an operator's file, and where each value was written."""

from enum import Enum, unique

from msgspec import Struct

from chicoryproxy.finding import Place

KeyPath = tuple[str | int, ...]
"""Keys and list indices from the top of a document to a value."""

Data = dict[str, "Data"] | list["Data"] | str | int | float | bool | None
"""Plain data of a document; dates stay text."""


class Document(Struct, frozen=True):
    """Plain data with the place of each value.

    :param source: name of the file.
    :param data: the values.
    :param places: place of each value by its path; a mapping's value has the place of its key.
    """

    source: str
    data: Data
    places: dict[KeyPath, Place]

    def get_place(self, path: KeyPath) -> Place:
        """Return the place of a value, or of the nearest value around it."""
        while path and path not in self.places:
            path = path[:-1]
        return self.places.get(path, Place(self.source, 1, 1))


@unique
class DocumentFault(Enum):
    """Why there is no document."""

    SYNTAX = "syntax"
    UNREADABLE = "unreadable"

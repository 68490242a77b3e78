"""Writes a publication to a folder, with one file per value, for an operator's pipeline.

The load balancer itself writes no shared state. A pipeline copies the files to the platform, the
parts first and the index last.
"""

import os
from enum import Enum, unique
from pathlib import Path

from msgspec import Struct

from chicoryproxy.configuration.published import (
    INDEX_NAME,
    Index,
    Publication,
    PublishedFault,
    decode_index,
)
from chicoryproxy.ids import NO_VERSION, Version


@unique
class FolderFault(Enum):
    """Why a folder could not be read or written."""

    UNREADABLE = "the index in the folder can't be read"
    NOT_HIGHER = "the folder already contains this version or a higher one"
    UNWRITABLE = "the folder can't be written"


class PublicationChange(Struct, frozen=True):
    """Changes that a publication made to a folder.

    :param added: names of the new parts.
    :param removed: names of the parts that neither this version nor the previous one uses.
    """

    added: tuple[str, ...]
    removed: tuple[str, ...]


def read_version(folder: Path) -> Version | FolderFault:
    """Return the version in a folder; ``NO_VERSION`` if the folder contains none."""
    index = _read_index(folder)
    if isinstance(index, FolderFault):
        return index
    return index.version if index else NO_VERSION


def write_publication(
    publication: Publication, version: Version, folder: Path
) -> PublicationChange | FolderFault:
    """Write the values of a version, the index last.

    The parts of the previous version are kept, because readers may still be reading them.
    """
    previous = _read_index(folder)
    if isinstance(previous, FolderFault):
        return previous
    if previous is not None and version <= previous.version:
        return FolderFault.NOT_HIGHER
    retained = {entry.name for entry in previous.list_parts()} if previous else set()
    try:
        folder.mkdir(parents=True, exist_ok=True)
        existing = {path.name for path in folder.glob(f"{INDEX_NAME}.*")}
        added = sorted(publication.parts.keys() - existing)
        removed = sorted(existing - publication.parts.keys() - retained)
        for name in added:
            _write_atomically(folder / name, publication.parts[name])
        _write_atomically(folder / INDEX_NAME, publication.index)
        for name in removed:
            (folder / name).unlink()
    except OSError:
        return FolderFault.UNWRITABLE
    return PublicationChange(tuple(added), tuple(removed))


def _read_index(folder: Path) -> Index | FolderFault | None:
    try:
        body = (folder / INDEX_NAME).read_bytes()
    except FileNotFoundError:
        return None
    except OSError:
        return FolderFault.UNREADABLE
    index = decode_index(body)
    return FolderFault.UNREADABLE if isinstance(index, PublishedFault) else index


def _write_atomically(path: Path, body: bytes) -> None:
    """Write a file atomically, so that a reader never sees a part of it."""
    temporary = path.with_name(f".{path.name}.draft")
    temporary.write_bytes(body)
    os.replace(temporary, path)

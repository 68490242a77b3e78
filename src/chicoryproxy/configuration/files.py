"""Loads a file, or all files of a folder, as one document."""

from pathlib import Path

from chicoryproxy.configuration.document import Data, Document, DocumentFault, KeyPath
from chicoryproxy.configuration.jsonreader import read_json
from chicoryproxy.configuration.yamlreader import read_yaml
from chicoryproxy.finding import FindingList, Place

JSON_SUFFIX = ".json"
SUFFIXES = (".yaml", ".yml", JSON_SUFFIX)


def load_document(path: str, findings: FindingList) -> Document | DocumentFault:
    """Load a file, or all YAML and JSON files of a folder, as one document.

    :param path: name of the file or folder.
    :param findings: list that errors are added to.
    :returns: ``DocumentFault.UNREADABLE`` if a file can't be read as UTF-8 text.
    """
    if not Path(path).is_dir():
        return _load_file(path, findings)
    files = sorted(item for item in Path(path).iterdir() if item.suffix in SUFFIXES)
    if not files:
        findings.add(
            Place(path), "the folder contains no YAML or JSON files", "specify another folder"
        )
        return DocumentFault.UNREADABLE
    documents = []
    faults = []
    for file in files:
        document = _load_file(str(file), findings)
        if isinstance(document, DocumentFault):
            faults.append(document)
        else:
            documents.append(document)
    if faults:
        return max(faults, key=lambda fault: fault is DocumentFault.UNREADABLE)
    return _merge_documents(path, documents, findings)


def _load_file(path: str, findings: FindingList) -> Document | DocumentFault:
    try:
        text = Path(path).read_text(encoding="utf-8")
    except OSError as error:
        reason = error.strerror or str(error)
        findings.add(Place(path), f"the file can't be read: {reason}", "specify a readable file")
        return DocumentFault.UNREADABLE
    except UnicodeDecodeError as error:
        findings.add(
            Place(path), f"the file is not valid UTF-8 at byte {error.start}", "save it as UTF-8"
        )
        return DocumentFault.UNREADABLE
    if path.endswith(JSON_SUFFIX):
        return read_json(text, path, findings)
    return read_yaml(text, path, findings)


def _merge_documents(source: str, documents: list[Document], findings: FindingList) -> Document:
    """Merge several documents; mappings and lists of the same top-level key are combined."""
    data: dict[str, Data] = {}
    places: dict[KeyPath, Place] = {(): Place(source)}
    for document in documents:
        if document.data is None:
            continue
        if not isinstance(document.data, dict):
            place = document.get_place(())
            findings.add(place, "the file is not a mapping", "write the keys of a configuration")
            continue
        index_offsets = {key: len(item) for key, item in data.items() if isinstance(item, list)}
        for path, place in document.places.items():
            if len(path) > 1 and isinstance(path[1], int):
                path = (path[0], path[1] + index_offsets.get(str(path[0]), 0), *path[2:])
            places.setdefault(path, place)
        for key, value in document.data.items():
            data[key] = _merge_value(data, key, value, document, findings)
    return Document(source, data, places)


def _merge_value(
    data: dict[str, Data], key: str, value: Data, document: Document, findings: FindingList
) -> Data:
    """Merge the value of a top-level key from another document into the existing value."""
    existing = data.get(key)
    if existing is None:
        return value
    if isinstance(existing, list) and isinstance(value, list):
        return existing + value
    if isinstance(existing, dict) and isinstance(value, dict):
        for name in existing.keys() & value.keys():
            place = document.get_place((key, name))
            findings.add(
                place, f"`{key}.{name}` is also defined in another file", "keep one of the two"
            )
        return {**value, **existing}
    findings.add(
        document.get_place((key,)),
        f"`{key}` is also defined in another file",
        "keep one of the two",
    )
    return existing

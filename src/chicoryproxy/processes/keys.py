"""Loads the pre-shared keys from the key files named in the settings.

A key file holds one key as text on its first line, ``MIN_KEY_BYTES`` to ``MAX_KEY_BYTES`` long.
"""

from pathlib import Path

from chicoryproxy.configuration.settings import Settings
from chicoryproxy.errors import SettingsError
from chicoryproxy.finding import FindingList, Place
from chicoryproxy.network.seal import MAX_KEY_BYTES, MIN_KEY_BYTES


def load_keys(settings: Settings) -> tuple[bytes, ...]:
    """Load the current key and the previous one, which peers may still use during a rotation.

    :returns: the keys in that order; empty if the settings name no key file.
    :raises SettingsError: with a finding for each unreadable file and each key of invalid length.
    """
    findings = FindingList()
    names = (settings.key_file, settings.previous_key_file)
    keys = tuple(_load_key(name, findings) for name in names if name)
    if findings:
        raise SettingsError(findings)
    return keys


def _load_key(name: str, findings: FindingList) -> bytes:
    place = Place(name)
    try:
        lines = Path(name).read_bytes().splitlines()
    except OSError as error:
        findings.add(place, f"cannot read the key file: {error.strerror}", "name a readable file")
        return b""
    key = lines[0].strip() if lines else b""
    if not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES:
        findings.add(
            place,
            f"key length of {len(key)} bytes is out of range",
            f"write a key of {MIN_KEY_BYTES} to {MAX_KEY_BYTES} bytes on the first line",
        )
    return key

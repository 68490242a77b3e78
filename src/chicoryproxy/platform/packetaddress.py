"""Reads the address of the callers' packets before the libraries are loaded.

Only the standard library is imported, and no JSON parser, since each import delays the start.
``settings`` later reads the whole file and reports errors, so that errors are ignored here; the
socket is replaced if the address differs.
"""

import os
import re

SETTINGS_VARIABLE = "CHICORYPROXY_SETTINGS"
LISTEN_KEY = "ListenAddrs"
PACKETS_KEY = "DatagramAddr"

_ADDRESS = re.compile(rf'"{PACKETS_KEY}"\s*:\s*"([^"\\]+):(\d+)"')


def read_packet_address() -> tuple[str, int] | None:
    """Return host and port, or ``None`` if the settings can't be read or lack the address."""
    path = os.environ.get(SETTINGS_VARIABLE, "")
    try:
        with open(path, encoding="utf-8") as file:
            match = _ADDRESS.search(file.read())
    except (OSError, ValueError):
        return None
    return (match[1], int(match[2])) if match else None

"""Reads the address of the callers' packets before the libraries are loaded.

Only the standard library is imported. ``settings`` later reads the whole file and reports errors,
so that errors are ignored here.
"""

import json
import os

SETTINGS_VARIABLE = "CHICORYPROXY_SETTINGS"
LISTEN_KEY = "ListenAddrs"
PACKETS_KEY = "DatagramAddr"


def read_packet_address() -> tuple[str, int] | None:
    """Return host and port, or ``None`` if the settings can't be read or lack the address."""
    path = os.environ.get(SETTINGS_VARIABLE, "")
    try:
        with open(path, encoding="utf-8") as file:
            host, _, port = json.load(file)[LISTEN_KEY][PACKETS_KEY].rpartition(":")
        return host, int(port)
    except (OSError, ValueError, KeyError, TypeError, AttributeError):
        return None

"""Address of the callers' packets, read before the libraries are loaded.

``settings`` reads the same file whole and reports its faults; here a fault only means that nothing
is known yet.
"""

import json
import os

SETTINGS_VARIABLE = "CHICORYPROXY_SETTINGS"
LISTEN_KEY = "ListenAddrs"
PACKETS_KEY = "DatagramAddr"


def read_packet_address() -> tuple[str, int] | None:
    """Return host and port, ``None`` if the settings do not say them."""
    path = os.environ.get(SETTINGS_VARIABLE, "")
    try:
        with open(path, encoding="utf-8") as file:
            host, _, port = json.load(file)[LISTEN_KEY][PACKETS_KEY].rpartition(":")
        return host, int(port)
    except (OSError, ValueError, KeyError, TypeError, AttributeError):
        return None

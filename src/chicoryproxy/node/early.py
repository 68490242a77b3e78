"""Binds the socket of the callers' packets before the rest of the process is loaded.

Importing the libraries takes most of a start. Packets that arrive meanwhile wait in the socket, so
that their callers need not repeat them.
"""

import socket

from chicoryproxy.eventloop.datagram import open_datagram_socket
from chicoryproxy.platform.packetaddress import read_packet_address


def bind_packet_socket() -> socket.socket | None:
    """Bind the socket; ``None`` if that fails, and the entry tries again and reports why."""
    address = read_packet_address()
    if address is None:
        return None
    try:
        return open_datagram_socket(*address)
    except (OSError, OverflowError):
        return None

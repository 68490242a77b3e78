"""Binds the socket for callers' packets before the rest of the process is imported.

Importing the libraries takes most of the startup time. Packets that arrive meanwhile are queued in
the socket, so that callers don't have to retransmit them.
"""

import socket

from chicoryproxy.eventloop.datagram import open_datagram_socket
from chicoryproxy.platform.packetaddress import read_packet_address


def bind_packet_socket() -> socket.socket | None:
    """Bind the socket.

    :returns: ``None`` if that fails; the entry then tries again and reports the error.
    """
    address = read_packet_address()
    if address is None:
        return None
    try:
        return open_datagram_socket(*address)
    except (OSError, OverflowError):
        return None

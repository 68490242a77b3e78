"""UDP sockets.

This module imports only ``socket``, so that a socket can be bound before the libraries are loaded.
"""

import socket

RECEIVE_BUFFER_BYTES = 1 << 20


def open_datagram_socket(host: str, port: int) -> socket.socket:
    """Open and bind a non-blocking UDP socket.

    :raises OSError: if the address can't be bound.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.bind((host, port))
    except OSError:
        sock.close()
        raise
    return sock

"""Reservation of loopback addresses among programs that run concurrently on one machine."""

import socket
from collections.abc import Iterable

from chicoryproxy.errors import ChicoryError


def reserve_address(hosts: Iterable[str], port: int) -> socket.socket:
    """Bind a socket to the first address that no other program has reserved.

    :param hosts: loopback addresses in order of preference.
    :param port: port that all programs that choose among these addresses bind to.
    :returns: the socket, which reserves the address until it is closed.
    :raises ChicoryError: if all addresses are reserved.
    """
    for host in hosts:
        lock = socket.socket()
        try:
            lock.bind((host, port))
        except OSError:
            lock.close()
            continue
        return lock
    raise ChicoryError("all loopback addresses are in use by other runs; end one of them")

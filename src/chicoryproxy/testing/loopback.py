"""Loopback addresses for programs that run at the same time on one machine."""

import socket
from collections.abc import Iterable

from chicoryproxy.errors import ChicoryError


def reserve_address(hosts: Iterable[str], port: int) -> socket.socket:
    """Bind a socket to the first address that no other program has reserved.

    :param hosts: loopback addresses, in the order of preference.
    :param port: the same for all programs that choose among these addresses.
    :returns: the socket, which holds the address until it is closed.
    :raises ChicoryError: if all are in use.
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

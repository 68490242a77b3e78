"""Names and addresses of what the soak runs."""

import os

from chicoryproxy.forwarding.peers.hosts import parse_host
from tests.childprocess import reserve_network

SERVICES = ("desk", "vault")
ZONES = ("north", "south", "west")
ROUTES = ((parse_host("198.18.0.1"), 443), (parse_host("198.18.0.2"), 443))
EXTRA_ROUTE = (parse_host("198.18.0.9"), 443)
"""Route that versions add and remove."""

MOVING_ROUTE = (parse_host("198.18.0.3"), 443)
"""Route that versions move from one service to the other."""

HOSTS_PER_NETWORK = 200
NET, _NET_LOCK = reserve_network(os.getpid())


def get_entry_host(number):
    """Return the address of an entry; concurrent soaks use different networks."""
    return f"127.{NET}.{10 + number % len(ZONES)}.{number + 1}"


def get_caller_host(number):
    """Return the address of a caller."""
    return _format_host(100, number)


def get_server_host(number):
    """Return the address of a server."""
    return _format_host(200, number)


def _format_host(first, number):
    network, host = divmod(number, HOSTS_PER_NETWORK)
    return f"127.{NET}.{first + network}.{host + 1}"

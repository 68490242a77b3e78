"""Parsing and formatting of IP endpoints, and checks of addresses and URLs."""

import ipaddress
from enum import Enum, unique
from urllib.parse import urlsplit

from chicoryproxy.model import Endpoint

MAX_PORT = 65535


@unique
class EndpointProblem(Enum):
    """Why a string is not a valid endpoint."""

    NO_PORT = "the port after the IP address is missing"
    BAD_HOST = "the host is not an IP address"
    BAD_PORT = "the port isn't between 1 and 65535"


def parse_endpoint(text: str) -> Endpoint | EndpointProblem:
    """Parse an endpoint such as ``10.0.0.7:6080`` or ``[2001:db8::7]:6080``.

    IPv6 addresses are normalized to their shortest form, so that equal endpoints compare equal.
    """
    host, colon, port = text.rpartition(":")
    if not colon:
        return EndpointProblem.NO_PORT
    if not (port.isascii() and port.isdecimal() and len(port) <= 5):
        return EndpointProblem.BAD_PORT
    if not 1 <= int(port) <= MAX_PORT:
        return EndpointProblem.BAD_PORT
    number = _parse_host(host)
    if number is None:
        return EndpointProblem.BAD_HOST
    return Endpoint(number, int(port))


def format_endpoint(endpoint: Endpoint) -> str:
    """Format an endpoint as ``parse_endpoint`` accepts it."""
    if ":" in endpoint.host:
        return f"[{endpoint.host}]:{endpoint.port}"
    return f"{endpoint.host}:{endpoint.port}"


def is_unicast(host: str) -> bool:
    """Return whether an IP address is neither unspecified nor multicast."""
    number = ipaddress.ip_address(host)
    return not (number.is_unspecified or number.is_multicast)


def is_http_url(url: str) -> bool:
    """Return whether a string is an http or https URL with a host."""
    try:
        parts = urlsplit(url)
        return parts.scheme in ("http", "https") and bool(parts.hostname) and parts.port != 0
    except ValueError:
        return False


def _parse_host(host: str) -> str | None:
    bracketed = host.startswith("[") and host.endswith("]")
    try:
        if bracketed:
            return str(ipaddress.IPv6Address(host[1:-1]))
        return str(ipaddress.IPv4Address(host))
    except ValueError:
        return None

"""Conversion of IPv4 addresses between text and the numbers used in packets and messages."""

import re

HOST_OCTETS = 4

_OCTET = "(?:25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])"
_HOST = re.compile(rf"{_OCTET}(?:\.{_OCTET}){{3}}")


def parse_host(text: str) -> int:
    """Convert an IPv4 address from text to a number.

    Other spellings, such as leading zeros or the digits of other scripts, are no addresses: a
    socket takes them for octal numbers or for names to look up.

    :raises ValueError: if the text is not an IPv4 address.
    """
    if not _HOST.fullmatch(text):
        raise ValueError(f"not an IPv4 address: {text!r}")
    return int.from_bytes(bytes(int(part) for part in text.split(".")), "big")


def format_host(host: int) -> str:
    """Convert an IPv4 address from a number to text."""
    return ".".join(str(byte) for byte in host.to_bytes(HOST_OCTETS, "big"))

"""Conversion of IPv4 addresses between text and the numbers used in packets and messages."""

HOST_OCTETS = 4
MAX_OCTET = 255


def parse_host(text: str) -> int:
    """Convert an IPv4 address from text to a number.

    Other spellings, such as leading zeros or the digits of other scripts, are no addresses: a
    socket takes them for octal numbers or for names to look up.

    :raises ValueError: if the text is not an IPv4 address.
    """
    parts = text.split(".")
    if len(parts) == HOST_OCTETS and all(
        part.isdecimal() and int(part) <= MAX_OCTET for part in parts
    ):
        host = int.from_bytes(bytes(int(part) for part in parts), "big")
        if format_host(host) == text:
            return host
    raise ValueError(f"not an IPv4 address: {text!r}")


def format_host(host: int) -> str:
    """Convert an IPv4 address from a number to text."""
    return ".".join(str(byte) for byte in host.to_bytes(HOST_OCTETS, "big"))

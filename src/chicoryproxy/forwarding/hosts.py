"""IPv4 addresses as numbers, the form in which packets, routes and peers carry them."""

HOST_PARTS = 4
MAX_PART = 255


def parse_host(text: str) -> int:
    """Return an IPv4 address in text form as a number.

    :raises ValueError: if it is something else.
    """
    parts = text.split(".")
    if len(parts) != HOST_PARTS or not all(
        part.isdecimal() and int(part) <= MAX_PART for part in parts
    ):
        raise ValueError(f"no IPv4 address in {text!r}")
    return int.from_bytes(bytes(int(part) for part in parts), "big")


def format_host(host: int) -> str:
    """Return an IPv4 address in text form."""
    return ".".join(str(byte) for byte in host.to_bytes(HOST_PARTS, "big"))

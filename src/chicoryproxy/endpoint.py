"""Address of a process on the network."""

from msgspec import Struct


class Endpoint(Struct, frozen=True, order=True):
    """An IP address and a port.

    :param host: IPv4 or IPv6 address in text form.
    :param port: UDP or TCP port.
    """

    host: str
    port: int

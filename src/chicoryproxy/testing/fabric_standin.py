"""Fabric stand-in for the demo and the tests: sprays packets over the entries."""

import random
from collections.abc import Callable, Sequence

from chicoryproxy.model import Endpoint
from chicoryproxy.network.datasocket import Address, DataSocket


class FabricStandIn:
    """Sends each packet to a random entry, and delivers returned packets to the callers.

    :param deliver: called with each packet that an entry or an upstream sends to a caller.
    :param seed: seed of the random choice of entries.
    """

    def __init__(self, endpoint: Endpoint, deliver: Callable[[bytes], None], seed: int) -> None:
        self.socket = DataSocket(endpoint, lambda data, _source: deliver(data))
        self.address: Address = (endpoint.host, endpoint.port)
        self._entries: Sequence[Address] = ()
        self._random = random.Random(seed)

    def set_entries(self, entries: Sequence[Endpoint]) -> None:
        """Set the entries that later packets are sprayed over."""
        self._entries = [(entry.host, entry.port) for entry in entries]

    def choose_entry(self) -> Address:
        """Return the entry for the next packet."""
        return self._random.choice(self._entries)

    def spray(self, packet: bytes) -> None:
        """Send a packet to a random entry; drop it if there are no entries."""
        if self._entries:
            self.socket.send(packet, self.choose_entry())

"""Stand-in for the fabric, for the demo and the tests: sprays each packet over the entries."""

import random
from collections.abc import Callable, Sequence

from chicoryproxy.model import Endpoint
from chicoryproxy.network.datasocket import Address, DataSocket


class FabricStandIn:
    """Gives each packet to any entry, and the packets that come back to the callers.

    :param deliver: takes each packet that an entry or an upstream sends to a caller.
    :param seed: of the spray.
    """

    def __init__(self, endpoint: Endpoint, deliver: Callable[[bytes], None], seed: int) -> None:
        self.socket = DataSocket(endpoint, lambda data, _source: deliver(data))
        self.address: Address = (endpoint.host, endpoint.port)
        self._entries: Sequence[Address] = ()
        self._random = random.Random(seed)

    def set_entries(self, entries: Sequence[Endpoint]) -> None:
        """Spray over these entries from now on."""
        self._entries = [(entry.host, entry.port) for entry in entries]

    def choose_entry(self) -> Address:
        """Return the entry for the next packet."""
        return self._random.choice(self._entries)

    def spray(self, packet: bytes) -> None:
        """Give a packet to any entry."""
        if self._entries:
            self.socket.send(packet, self.choose_entry())

"""Index of the lifetimes of upstreams by address.

Several lifetimes may have had one address: upstreams that ended leave theirs to others, and
registrations arrive in any order.
"""

from chicoryproxy.endpoint import Endpoint
from chicoryproxy.forwarding.view.lifetime import Lifetime


class AddressOwners:
    """Lifetimes that have or had an address, in the order in which they were added."""

    def __init__(self) -> None:
        self._lifetimes: dict[Endpoint, tuple[Lifetime, ...]] = {}

    def add(self, lifetime: Lifetime) -> None:
        """Add a lifetime under its present address."""
        address = lifetime.entry.address
        self._lifetimes[address] = (*self._lifetimes.get(address, ()), lifetime)

    def discard(self, lifetime: Lifetime) -> None:
        """Remove a lifetime from its present address."""
        address = lifetime.entry.address
        others = self.list_others(lifetime)
        if others:
            self._lifetimes[address] = others
        else:
            self._lifetimes.pop(address, None)

    def list_others(self, lifetime: Lifetime) -> tuple[Lifetime, ...]:
        """Return the other lifetimes with the address of a lifetime."""
        known = self._lifetimes.get(lifetime.entry.address, ())
        return tuple(item for item in known if item is not lifetime)

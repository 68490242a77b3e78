"""Queue of gossip updates that are piggybacked on other messages.

Follows the dissemination component of SWIM (Das, Gupta and Motivala, 2002): each update is sent a
bounded number of times, and updates sent less often take precedence.
"""

import math
from collections.abc import Callable
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=str)
Update = TypeVar("Update")

RETRANSMIT_MULTIPLIER = 3
"""Sends per update, as a multiple of the gossip rounds that reach all members."""


def count_gossip_rounds(members: int) -> int:
    """Return the number of gossip rounds, each doubling the informed instances, to reach all."""
    return math.ceil(math.log2(members + 1))


def compute_transmit_limit(members: int) -> int:
    """Return how often one instance sends an update in a group of ``members`` instances."""
    return RETRANSMIT_MULTIPLIER * count_gossip_rounds(members)


class GossipQueue(Generic[Key, Update]):
    """Updates by key; a new update replaces the previous one of the same key.

    :param estimate: returns the estimated size of an update in bytes.
    """

    def __init__(self, estimate: Callable[[Update], int]) -> None:
        self._estimate = estimate
        self._updates: dict[Key, Update] = {}
        self._by_sends: list[dict[Key, None]] = [{}]
        self._sends: dict[Key, int] = {}
        self._limits: dict[Key, int] = {}

    def __len__(self) -> int:
        return len(self._updates)

    def __contains__(self, key: Key) -> bool:
        """Return whether an update of a key is queued."""
        return key in self._updates

    def put(self, key: Key, update: Update) -> None:
        """Queue an update, with its number of sends reset to zero."""
        self.discard(key)
        self._updates[key] = update
        self._place(key, 0)

    def discard(self, key: Key) -> None:
        """Remove the update of a key, if any."""
        if key in self._updates:
            del self._updates[key]
            del self._by_sends[self._sends.pop(key)][key]
            self._limits.pop(key, None)

    def limit(self, key: Key, max_sends: int) -> None:
        """Set a lower transmit limit for the update of a key."""
        if key not in self._updates:
            return
        if self._sends[key] >= max_sends:
            self.discard(key)
        else:
            self._limits[key] = max_sends

    def next_batch(self, max_bytes: float, max_sends: int) -> tuple[Update, ...]:
        """Return the updates for one message, least sent first, and count them as sent.

        :param max_bytes: space left in the message.
        :param max_sends: number of sends after which an update is removed.
        """
        keys: list[Key] = []
        room = max_bytes
        for level in self._by_sends:
            for key in level:
                room -= self._estimate(self._updates[key])
                if room < 0:
                    return self._count_batch(keys, max_sends)
                keys.append(key)
        return self._count_batch(keys, max_sends)

    def _count_batch(self, keys: list[Key], max_sends: int) -> tuple[Update, ...]:
        batch = tuple(self._updates[key] for key in keys)
        for key in keys:
            self._count_send(key, max_sends)
        return batch

    def _count_send(self, key: Key, max_sends: int) -> None:
        sends = self._sends[key] + 1
        if sends >= min(max_sends, self._limits.get(key, max_sends)):
            self.discard(key)
            return
        del self._by_sends[sends - 1][key]
        self._place(key, sends)

    def _place(self, key: Key, sends: int) -> None:
        while len(self._by_sends) <= sends:
            self._by_sends.append({})
        self._by_sends[sends][key] = None
        self._sends[key] = sends

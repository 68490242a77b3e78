"""Queue of news that is spread on other messages, each a bounded number of times.

After the piggybacked dissemination of SWIM (Das, Gupta and Motivala, 2002): news that was sent
less often goes first.
"""

import math
from collections.abc import Callable
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=str)
Update = TypeVar("Update")

RETRANSMIT_MULTIPLIER = 3


def count_gossip_rounds(members: int) -> int:
    """Return how often the number of informed instances doubles until all are informed."""
    return math.ceil(math.log2(members + 1))


def compute_transmit_limit(members: int) -> int:
    """Return how often one piece of news is sent in a group of ``members`` instances."""
    return RETRANSMIT_MULTIPLIER * count_gossip_rounds(members)


class GossipQueue(Generic[Key, Update]):
    """News by key; newer news of a key replaces older.

    :param estimate: returns the bytes of a piece of news.
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
        """Return whether there is news of a key."""
        return key in self._updates

    def put(self, key: Key, update: Update) -> None:
        """Queue news to be sent as often as the group needs."""
        self.discard(key)
        self._updates[key] = update
        self._place(key, 0)

    def discard(self, key: Key) -> None:
        """Drop the news of a key."""
        if key in self._updates:
            del self._updates[key]
            del self._by_sends[self._sends.pop(key)][key]
            self._limits.pop(key, None)

    def limit(self, key: Key, max_sends: int) -> None:
        """Let the news of a key end after fewer sends than others."""
        if key not in self._updates:
            return
        if self._sends[key] >= max_sends:
            self.discard(key)
        else:
            self._limits[key] = max_sends

    def next_batch(self, max_bytes: float, max_sends: int) -> tuple[Update, ...]:
        """Return news for one message, least sent first, and count it as sent.

        :param max_bytes: room in the message.
        :param max_sends: number of sends after which news is dropped.
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

"""Highest-random-weight (rendezvous) choice, after Thaler and Ravishankar (1998).

Every instance that knows the same candidates computes the same choice.
"""

from collections.abc import Iterable, Sequence
from typing import TYPE_CHECKING

import xxhash

from chicoryproxy.ids import InstanceId, UpstreamId
from chicoryproxy.model import Instance

if TYPE_CHECKING:
    from chicoryproxy.protocol.messages import SlotName


def score(key: str, candidate: str) -> int:
    """Return the unsigned 64-bit score of a candidate for a key."""
    return xxhash.xxh3_64_intdigest(f"{key}\x00{candidate}".encode())


def rank_instances(key: str, candidates: Iterable[InstanceId], count: int) -> Sequence[InstanceId]:
    """Return the ``count`` best candidates for a key, best first.

    :param key: name of what is to be placed.
    :param candidates: instance ids; their order has no influence.
    """
    return sorted(candidates, key=lambda candidate: (score(key, candidate), candidate))[
        : -count - 1 : -1
    ]


def choose_homes(slot: "SlotName", candidates: Iterable[InstanceId]) -> Sequence[InstanceId]:
    """Return the home of a slot and its successor, fewer when there are fewer candidates."""
    return rank_instances(f"slot/{slot.service}/{slot.size}/{slot.slot}", candidates, 2)


def choose_owner(upstream: UpstreamId, domain_members: Iterable[Instance]) -> InstanceId | None:
    """Return the owner of an upstream among live instances of the upstream's own domain.

    :returns: ``None`` when the domain has no live instance.
    """
    ranked = rank_instances(f"owner/{upstream}", (member.id for member in domain_members), 1)
    return ranked[0] if ranked else None

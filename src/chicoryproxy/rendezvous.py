"""Rendezvous (highest random weight) hashing, after Thaler and Ravishankar (1998).

Instances that know the same candidates select the same ones without communication.
"""

from collections.abc import Iterable, Sequence
from typing import TYPE_CHECKING

import xxhash

from chicoryproxy.ids import InstanceId, UpstreamId

if TYPE_CHECKING:
    # The entry on the platform uses this module without these.
    from chicoryproxy.model import Instance
    from chicoryproxy.protocol.messages import SlotName


def score(key: str, candidate: str) -> int:
    """Return the unsigned 64-bit weight of a candidate for a key."""
    return xxhash.xxh3_64_intdigest(f"{key}\x00{candidate}".encode())


def rank_instances(key: str, candidates: Iterable[InstanceId], count: int) -> Sequence[InstanceId]:
    """Return the ``count`` candidates with the highest scores for a key, highest first.

    :param key: key of the object to place.
    :param candidates: instance ids in any order.
    """
    return sorted(candidates, key=lambda candidate: (score(key, candidate), candidate))[
        : -count - 1 : -1
    ]


def choose_homes(slot: "SlotName", candidates: Iterable[InstanceId]) -> Sequence[InstanceId]:
    """Return the home of a slot and its successor, or fewer if there are not two candidates.

    The home decides on the flows of the slot while it is contested. The successor receives the
    home's records, so that it can take over.
    """
    return rank_instances(f"slot/{slot.service}/{slot.size}/{slot.slot}", candidates, 2)


def choose_owner(upstream: UpstreamId, domain_members: Iterable["Instance"]) -> InstanceId | None:
    """Return the owner of an upstream, one of the live instances of the upstream's domain.

    :returns: ``None`` if the domain has no live instance.
    """
    ranked = rank_instances(f"owner/{upstream}", (member.id for member in domain_members), 1)
    return ranked[0] if ranked else None

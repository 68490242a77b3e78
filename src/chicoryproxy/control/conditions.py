"""Conditions of the upstreams, as gossiped by their owners.

When a configuration version makes an upstream cold, its epoch is derived from that version.
All instances therefore assign the same epoch, and no change made by an owner under an older
version overrides it. An instance that skipped versions derives the epoch from the first skipped
one, so that it doesn't override the conditions of its peers.
"""

from collections.abc import Iterable

import msgspec

from chicoryproxy.control.outbox import Outbox
from chicoryproxy.control.versions import VersionChange, list_domains_in
from chicoryproxy.ids import NO_VERSION, DomainId, UpstreamId
from chicoryproxy.model import Configuration, Upstream, UpstreamCondition
from chicoryproxy.states import UpstreamState

EPOCHS_PER_VERSION = 1 << 20
"""Maximum number of changes by owners under one configuration version."""

CORRECTION_SENDS = 2
"""Number of messages that carry the newer condition after a peer sent an older one."""

MAX_UNLISTED_CONDITIONS = 1024
RECENT_CONDITION_S = 600.0
"""Age up to which a return to ``READY`` is sent to a peer that may have missed it, in seconds."""

_SEVERITY = {
    UpstreamState.READY: 0,
    UpstreamState.WARMING: 1,
    UpstreamState.SHEDDING: 2,
    UpstreamState.DRAINING: 3,
    UpstreamState.COLD: 4,
    UpstreamState.UNREACHABLE: 5,
    UpstreamState.GONE: 6,
}
"""Of two conditions with the same epoch, the more severe state takes precedence."""


def index_upstreams(configuration: Configuration) -> dict[UpstreamId, Upstream]:
    """Index the upstreams of a configuration by id."""
    return {
        upstream.id: upstream
        for service in configuration.services
        for upstream in service.upstreams
    }


class ConditionStore:
    """The newest known condition of each upstream.

    Epoch zero means that no instance has assessed the upstream yet.

    :param outbox: receives the updates to gossip and the log lines.

    ``revision`` increases with each change.
    """

    def __init__(self, outbox: Outbox) -> None:
        self._outbox = outbox
        self._conditions: dict[UpstreamId, UpstreamCondition] = {}
        self._unlisted: dict[UpstreamId, UpstreamCondition] = {}
        self._sorted: tuple[UpstreamCondition, ...] | None = None
        self.revision = 0

    def get(self, upstream: UpstreamId) -> UpstreamCondition | None:
        """Return the condition of an upstream, or ``None`` if it isn't listed."""
        return self._conditions.get(upstream)

    def list_conditions(self) -> tuple[UpstreamCondition, ...]:
        """Return the conditions of the listed upstreams, ordered by id."""
        if self._sorted is None:
            ids = sorted(self._conditions)
            self._sorted = tuple(self._conditions[upstream] for upstream in ids)
        return self._sorted

    def list_recent(self, now: float) -> tuple[UpstreamCondition, ...]:
        """Return the conditions that a peer with a slightly outdated state may be missing."""
        return tuple(
            condition
            for condition in self._conditions.values()
            if condition.epoch > 0
            and (
                condition.state is not UpstreamState.READY
                or now - condition.since_s < RECENT_CONDITION_S
            )
        )

    def apply_change(self, change: VersionChange, now: float) -> None:
        """Mark added and restored upstreams as cold, and drop those no longer listed."""
        listed = index_upstreams(change.current)
        for gone in self._conditions.keys() - listed.keys():
            del self._conditions[gone]
        first = change.previous.version == NO_VERSION
        epoch = 0 if first else (change.previous.version + 1) * EPOCHS_PER_VERSION
        for upstream in self._list_newly_cold(change, listed):
            self._mark_cold(upstream, epoch, now)
        for upstream in listed.keys() & self._unlisted.keys():
            self.receive((self._unlisted.pop(upstream),), now)
        self._mark_changed()

    def receive(self, conditions: Iterable[UpstreamCondition], now: float) -> bool:
        """Merge conditions received from a peer.

        :returns: true if the peer sent an older condition; the newer one is queued for gossip.
        """
        is_outdated = False
        for condition in conditions:
            known = self._conditions.get(condition.upstream)
            if known is None:
                self._store_unlisted(condition)
            elif _is_newer(condition, known):
                self._store(condition, now)
            elif _is_newer(known, condition):
                is_outdated = True
                self._queue_correction(known)
        return is_outdated

    def set_state(
        self, upstream: UpstreamId, state: UpstreamState, reason: str, now: float
    ) -> None:
        """Set the state of an upstream owned by this instance.

        :param reason: the evidence, for the log.
        """
        known = self._conditions[upstream]
        self._store(UpstreamCondition(upstream, state, known.epoch + 1), now)
        self._outbox.log("health", f"{state.value}: {reason}", upstream)

    def requeue_recent(self, upstreams: Iterable[UpstreamId], since: float) -> None:
        """Queue conditions changed since a time again, as earlier gossip may have been lost."""
        for upstream in upstreams:
            condition = self._conditions.get(upstream)
            if condition is not None and condition.since_s >= since:
                self._outbox.conditions.put(upstream, condition)

    def _list_newly_cold(
        self, change: VersionChange, listed: dict[UpstreamId, Upstream]
    ) -> list[UpstreamId]:
        before = index_upstreams(change.previous)
        restored = _list_restored_domains(change)
        newly_cold = []
        for upstream in listed.values():
            known = before.get(upstream.id)
            if known is None or known.address != upstream.address or upstream.domain in restored:
                newly_cold.append(upstream.id)
        return newly_cold

    def _mark_cold(self, upstream: UpstreamId, epoch: int, now: float) -> None:
        if upstream not in self._conditions:
            self._conditions[upstream] = UpstreamCondition(upstream, UpstreamState.COLD, 0, now)
        if epoch > self._conditions[upstream].epoch:
            cold = UpstreamCondition(upstream, UpstreamState.COLD, epoch, now)
            self._conditions[upstream] = cold

    def _store_unlisted(self, condition: UpstreamCondition) -> None:
        known = self._unlisted.pop(condition.upstream, condition)
        newest = condition if _is_newer(condition, known) else known
        self._unlisted[condition.upstream] = newest
        if len(self._unlisted) > MAX_UNLISTED_CONDITIONS:
            del self._unlisted[next(iter(self._unlisted))]

    def _queue_correction(self, known: UpstreamCondition) -> None:
        if known.upstream not in self._outbox.conditions:
            self._outbox.conditions.put(known.upstream, known)
            self._outbox.conditions.limit(known.upstream, CORRECTION_SENDS)

    def _store(self, condition: UpstreamCondition, now: float) -> None:
        self._conditions[condition.upstream] = msgspec.structs.replace(condition, since_s=now)
        self._outbox.conditions.put(condition.upstream, condition)
        self._mark_changed()

    def _mark_changed(self) -> None:
        self.revision += 1
        self._sorted = None


def _is_newer(condition: UpstreamCondition, known: UpstreamCondition) -> bool:
    if condition.epoch != known.epoch:
        return condition.epoch > known.epoch
    return _SEVERITY[condition.state] > _SEVERITY[known.state]


def _list_restored_domains(change: VersionChange) -> frozenset[DomainId]:
    """Return the failure domains that were put back in service."""
    known = {domain.id for domain in change.previous.domains}
    restored = list_domains_in(change.current) - list_domains_in(change.previous)
    return frozenset(restored & known)

"""Lifetimes of upstreams: what an entry knows of one upstream from its start to its end."""

from chicoryproxy.forwarding.model import (
    Revision,
    UnreachableCause,
    UpstreamEntry,
    UpstreamPhase,
)
from chicoryproxy.forwarding.view.marks import compute_mark, get_identity

_REPLACED = frozenset({UnreachableCause.NEWER_LIFETIME, UnreachableCause.ADDRESS_REASSIGNED})


class Lifetime:
    """One lifetime of an upstream, from its start to its end.

    :ivar revision: revision that last wrote its registration.
    :ivar mark: its identifier in the packets.
    :ivar prefix: precedes each packet in a datagram to it.
    :ivar phase_since_s: when the phase began, on the clock of this process.
    :ivar leaving_since_s: earliest time at which it may have published that it leaves; ``None``
        unless it leaves.
    :ivar cold_until_s: time until which it is cold.
    :ivar is_mark_taken: another lifetime owns its mark.
    :ivar is_unreachable: connections to it failed, and none has succeeded since.
    :ivar unreachable_cause: evidence that made it unreachable the last time, or that replaced it.
    :ivar unreachable_since_s: when it became unreachable the last time.
    :ivar answered_s: when a caller last acknowledged data of it.
    """

    __slots__ = (
        "entry",
        "identity",
        "revision",
        "mark",
        "prefix",
        "mark_bytes",
        "target",
        "phase",
        "phase_since_s",
        "leaving_since_s",
        "cold_until_s",
        "is_mark_taken",
        "is_unreachable",
        "unreachable_cause",
        "unreachable_since_s",
        "answered_s",
    )

    def __init__(self, entry: UpstreamEntry, identity: str, revision: Revision, now: float) -> None:
        self.entry = entry
        self.identity = identity
        self.revision = revision
        self.mark = compute_mark(identity)
        self.mark_bytes = self.mark.to_bytes(4, "little")
        self.prefix = entry.number.to_bytes(8, "big")
        self.target = (entry.address.host, entry.address.port)
        self.phase = UpstreamPhase.SERVING
        self.phase_since_s = now
        self.leaving_since_s: float | None = None
        self.cold_until_s = now
        self.is_mark_taken = False
        self.is_unreachable = False
        self.unreachable_cause: UnreachableCause | None = None
        self.unreachable_since_s = float("-inf")
        self.answered_s = float("-inf")

    @property
    def can_open(self) -> bool:
        """True if it may get openings according to its phase and reachability."""
        return self.phase is UpstreamPhase.SERVING and not self.is_unreachable

    @property
    def is_leaving(self) -> bool:
        """True if it has published that it leaves, also after its registration was removed."""
        return self.leaving_since_s is not None

    def is_cold(self, now: float) -> bool:
        """Return whether the upstream is still cold."""
        return now < self.cold_until_s

    def update(
        self, entry: UpstreamEntry, revision: Revision, now: float, published_after_s: float
    ) -> None:
        """Apply a newer registration of the same lifetime.

        :param published_after_s: time after which it was published.
        """
        self.entry = entry
        self.revision = revision
        self.target = (entry.address.host, entry.address.port)
        if not entry.is_draining:
            self.leaving_since_s = None
        elif self.leaving_since_s is None:
            self.leaving_since_s = published_after_s
        self.keep_cold(entry, now)

    def keep_cold(self, entry: UpstreamEntry, now: float) -> None:
        """Treat the upstream as cold for at least as long as a registration says."""
        self.cold_until_s = max(self.cold_until_s, now + entry.cold_remaining_s)

    @property
    def is_replaced(self) -> bool:
        """True if another lifetime has its id or its address, so that it has ended."""
        return self.is_unreachable and self.unreachable_cause in _REPLACED

    def mark_unreachable(self, cause: UnreachableCause, now: float) -> None:
        """Mark the upstream as unreachable, and keep the first evidence of it or its end."""
        if not self.is_unreachable or cause in _REPLACED:
            self.is_unreachable = True
            self.unreachable_cause = cause
            self.unreachable_since_s = now


def is_outdated(entry: UpstreamEntry, known: Lifetime) -> bool:
    """Return whether a registration precedes the known one of the same id.

    It was written late, or by another writer: it is an earlier one of this lifetime, or one of
    another lifetime that began no later, and proves no change of the known one.
    """
    if not known.entry.started_ms:
        return False
    if get_identity(entry) == known.identity:
        return 0 < entry.sequence < known.entry.sequence
    return known.entry.started_ms >= entry.started_ms


def find_later(first: Lifetime, second: Lifetime) -> Lifetime | None:
    """Return which of two lifetimes that had the same address began later.

    The registration of an ended lifetime may be written late, and the clocks of the upstreams may
    differ; therefore both the revision and the start have to say so. A registration without a start
    may be another writer's, and is not later than one that has it.

    :returns: ``None`` if they contradict each other.
    """
    earlier, later = sorted((first, second), key=lambda item: item.revision)
    starts = (earlier.entry.started_ms, later.entry.started_ms)
    return None if starts[0] > starts[1] else later

"""Leases that limit the rate of openings to upstreams that are not ready.

``GrantOwner`` runs in the instance that owns an upstream, ``GrantHolder`` in every entry.
``docs/design/cold-starts.md`` compares ways to share the rate of a cold upstream.
"""

from collections import deque
from collections.abc import Callable
from math import inf
from typing import NewType

from msgspec import Struct

from chicoryproxy.ids import InstanceId, UpstreamId
from chicoryproxy.model import Upstream, UpstreamCondition
from chicoryproxy.protocol.messages import Grant, GrantRequest, OpeningOutcomes
from chicoryproxy.routing.ramp import Ramp, create_evidence_ramp
from chicoryproxy.routing.requestnumber import next_request_number
from chicoryproxy.states import UpstreamState

WINDOW_S = 1.0
MAX_CLOCK_RATE_ERROR = 0.01
OWNER_MARGIN_S = 3.0
DEMAND_TIMEOUT_S = 2.0
REQUEST_TIMEOUT_S = 0.2
MIN_RETRY_DELAY_S = 0.1
RENEWAL_LIFETIME_SHARE = 0.5

LeaseNumber = NewType("LeaseNumber", int)
"""Number of the request that a lease answers; at least one, so that it is truthy."""

_RAMP_STATES = frozenset(
    {
        UpstreamState.COLD,
        UpstreamState.WARMING,
        UpstreamState.SHEDDING,
    }
)


class _GrantedLease(Struct):
    granted_at: float
    openings: int


class _Demand(Struct):
    openings: int
    recorded_at: float


class _OwnedUpstream:
    """The owner's state of one upstream."""

    def __init__(self, not_before: float) -> None:
        self.not_before = not_before
        self.ramp: Ramp | None = None
        self.condition: UpstreamCondition | None = None
        self.leases: deque[_GrantedLease] = deque()
        self.granted_openings = 0
        self.demands: dict[InstanceId, _Demand] = {}

    def discard_before(self, limit: float) -> None:
        """Discard the leases that were granted before a time."""
        while self.leases and self.leases[0].granted_at < limit:
            self.granted_openings -= self.leases.popleft().openings


class GrantOwner:
    """Grants leases of openings for the upstreams that this instance owns.

    The bound of an upstream is the level of its ramp, in openings per second. The owner guarantees
    that in every window of ``WINDOW_S`` the openings that entries have forwarded, plus those that
    outstanding leases still allow, don't exceed the highest bound of that window and of the lease
    lifetime before it. Proof:

    1. A lease granted at ``g`` is used only in ``[g, g + L]``. The holder counts the lifetime
       from the sending of its request, which is before ``g``. ``L`` is ``lease_s`` extended by
       ``MAX_CLOCK_RATE_ERROR`` for a holder whose clock runs slowly.
    2. Hence only leases granted in ``[w - L, w + WINDOW_S]``, an interval of length
       ``WINDOW_S + L``, can be used in a window ``[w, w + WINDOW_S]``.
    3. At each grant the owner sums the leases of the last ``WINDOW_S + L``, including the new one,
       and the sum doesn't exceed the bound. For the last grant of any interval of that length the
       sum covers the whole interval.
    4. A new owner, and one that was paused, first waits ``L + WINDOW_S + margin_s``.
       ``L + WINDOW_S`` separates its leases from those of a previous owner that granted until it
       was replaced. The margin covers the time until the previous owner learns that it was
       replaced, so it must not be below the propagation time of membership changes.

    The bound applies to packets when they leave the entries. After a reset of the ramp,
    outstanding leases end within ``L``.

    The ramp starts at the cold level for a new owner and for an owner after a pause.

    :param lease_s: lifetime of a lease in seconds. The usable part of a bound is
        ``WINDOW_S / (WINDOW_S + lease_s)``, so shorter leases use more of it.
    :param margin_s: margin for the change of owners, see above, in seconds.
    """

    def __init__(self, lease_s: float, margin_s: float = OWNER_MARGIN_S) -> None:
        self.lease_s = lease_s
        self._margin_s = margin_s
        self._span_s = _compute_span_s(lease_s)
        self._wait_s = self._span_s + margin_s
        self._former_leases_end_s = -inf
        self._owned: dict[UpstreamId, _OwnedUpstream] = {}

    def set_lease(self, lease_s: float, now: float) -> None:
        """Change the lifetime of leases.

        No upstream owned now is granted until leases of the old and of the new lifetime, whichever
        is longer, would have ended.
        """
        if lease_s == self.lease_s:
            return
        self._former_leases_end_s = self._get_wait_end(now)
        self.lease_s = lease_s
        self._span_s = _compute_span_s(lease_s)
        self._wait_s = self._span_s + self._margin_s
        self.invalidate(now)

    def begin_ownership(self, upstream: UpstreamId, now: float) -> None:
        """Add an upstream and start its waiting time; no effect if it is owned already."""
        if upstream not in self._owned:
            self._owned[upstream] = _OwnedUpstream(self._get_wait_end(now))

    def end_ownership(self, upstream: UpstreamId) -> None:
        """Remove an upstream that another instance owns now."""
        self._owned.pop(upstream, None)

    def retain_owned(self, is_owned: Callable[[UpstreamId], bool]) -> None:
        """Remove the upstreams that are no longer owned; to be called when the members change.

        Otherwise an instance that loses and regains an upstream would grant without waiting.
        """
        for upstream in [name for name in self._owned if not is_owned(name)]:
            self.end_ownership(upstream)

    def invalidate(self, now: float) -> None:
        """Restart all waiting times after a pause, since another instance may have granted."""
        for upstream in self._owned:
            self._owned[upstream] = _OwnedUpstream(self._get_wait_end(now))

    def _get_wait_end(self, now: float) -> float:
        """Return until when a wait that starts now lasts, leases of former lifetimes included."""
        return max(now + self._wait_s, self._former_leases_end_s)

    def request(
        self,
        upstream: Upstream,
        condition: UpstreamCondition,
        holder: InstanceId,
        openings: int,
        now: float,
    ) -> int:
        """Grant openings to a holder.

        Under contention each holder gets a share proportional to its recent demand.

        :param condition: condition of the upstream as known here; ``COLD`` with a higher epoch
            resets the ramp before the decision.
        :param openings: openings that the holder expects to need during a lease.
        :returns: the number of openings granted; zero if the request is refused.
        """
        self.begin_ownership(upstream.id, now)
        owned = self._owned[upstream.id]
        ramp = self._apply_condition(owned, upstream, condition, now)
        share = _record_demand(owned, holder, max(1, openings), now)
        if now < owned.not_before or condition.state not in _RAMP_STATES:
            return 0
        span_s, bound = self._compute_limit(ramp.level)
        owned.discard_before(now - span_s)
        granted = min(openings, bound - owned.granted_openings, max(1, int(bound * share)))
        if granted <= 0:
            return 0
        owned.leases.append(_GrantedLease(now, granted))
        owned.granted_openings += granted
        return granted

    def retry_after_s(self, upstream: UpstreamId, now: float) -> float:
        """Return the seconds after which a refused holder should ask again."""
        owned = self._owned.get(upstream)
        if owned is None or now < owned.not_before:
            return (self._get_wait_end(now) if owned is None else owned.not_before) - now
        if not owned.leases:
            return MIN_RETRY_DELAY_S
        return max(MIN_RETRY_DELAY_S, owned.leases[0].granted_at + self._span_s - now)

    def record_outcomes(self, outcomes: OpeningOutcomes, now: float) -> None:
        """Record how an upstream answered the openings of an entry; ignored if not owned."""
        ramp = self._find_ramp(outcomes.upstream)
        if ramp is not None:
            ramp.record_openings(outcomes.answered, outcomes.refused, outcomes.lost, now)

    def record_load(
        self, upstream: UpstreamId, slots_used: int, connections: int, now: float
    ) -> None:
        """Record the load of an owned upstream; a negative value means unknown."""
        ramp = self._find_ramp(upstream)
        if ramp is not None:
            ramp.record_load(slots_used, connections, now)

    def level(self, upstream: UpstreamId) -> float:
        """Return the bound of an upstream in openings per second; zero if it has no ramp here."""
        ramp = self._find_ramp(upstream)
        return 0.0 if ramp is None else ramp.level

    def warmed(self) -> tuple[UpstreamId, ...]:
        """Return the owned upstreams that have proved their full rate."""
        return tuple(
            upstream
            for upstream, owned in self._owned.items()
            if owned.ramp is not None and owned.ramp.is_complete
        )

    def _find_ramp(self, upstream: UpstreamId) -> Ramp | None:
        owned = self._owned.get(upstream)
        return None if owned is None else owned.ramp

    def _apply_condition(
        self, owned: _OwnedUpstream, upstream: Upstream, condition: UpstreamCondition, now: float
    ) -> Ramp:
        known = owned.condition
        if owned.ramp is None:
            owned.ramp = create_evidence_ramp(upstream.warm_up, upstream.capacity, now)
            owned.condition = condition
        elif known is None or condition.epoch > known.epoch:
            owned.condition = condition
            if condition.state is UpstreamState.COLD:
                owned.ramp.reset_level(now)
            elif condition.state is UpstreamState.SHEDDING:
                owned.ramp.decrease_level(now)
        return owned.ramp

    def _compute_limit(self, level: float) -> tuple[float, int]:
        """Return the interval over which leases are summed, in seconds, and its limit of openings.

        If the level allows less than one opening per window, the interval is extended so that it
        allows one.
        """
        if level <= 0.0:
            return self._span_s, 0
        if level * WINDOW_S < 1.0:
            return self._span_s - WINDOW_S + 1.0 / level, 1
        return self._span_s, int(level * WINDOW_S)


def _compute_span_s(lease_s: float) -> float:
    """Return the length of the interval whose leases can be used in one window, in seconds."""
    return WINDOW_S + lease_s * (1.0 + MAX_CLOCK_RATE_ERROR)


def _record_demand(owned: _OwnedUpstream, holder: InstanceId, openings: int, now: float) -> float:
    """Record the demand of a holder and return its share of the recent demand."""
    owned.demands[holder] = _Demand(openings, now)
    recent = now - DEMAND_TIMEOUT_S
    owned.demands = {
        name: demand for name, demand in owned.demands.items() if demand.recorded_at >= recent
    }
    return openings / sum(demand.openings for demand in owned.demands.values())


class _HeldLease(Struct):
    """A lease received by a holder.

    :ivar expires_at: end of the lifetime, which starts when the request is sent.
    """

    number: LeaseNumber
    received_at: float
    expires_at: float
    openings: int


class _HeldUpstream:
    """The holder's state of one upstream."""

    def __init__(self) -> None:
        self.leases: list[_HeldLease] = []
        self.pending: GrantRequest | None = None
        self.requested_at = 0.0
        self.wait_until = 0.0
        self.attempts = 0
        self.demand = 1

    def discard_expired(self, now: float) -> None:
        """Discard expired leases; used-up ones stay, since openings may be returned to them."""
        if self.leases and now >= self.leases[0].expires_at:
            self.leases = [lease for lease in self.leases if now < lease.expires_at]


class GrantHolder:
    """Leases held by this entry, by upstream.

    There is at most one outstanding request per upstream. A request that isn't answered within
    ``request_timeout_s`` is abandoned, and later grants for its number are ignored.

    :param request_timeout_s: time to wait for a grant, in seconds.
    """

    def __init__(self, request_timeout_s: float = REQUEST_TIMEOUT_S) -> None:
        self._request_timeout_s = request_timeout_s
        self._held: dict[UpstreamId, _HeldUpstream] = {}
        self._number = 0

    def use_opening(self, upstream: UpstreamId, now: float) -> LeaseNumber | None:
        """Use one opening of an unexpired lease.

        :returns: number of the lease, which is truthy, or ``None`` if no opening is left.
        """
        held = self._held.setdefault(upstream, _HeldUpstream())
        held.attempts += 1
        held.discard_expired(now)
        for lease in held.leases:
            if lease.openings:
                lease.openings -= 1
                return lease.number
        return None

    def return_opening(self, upstream: UpstreamId, lease: LeaseNumber) -> None:
        """Return an opening that was not forwarded, for example because it was cancelled.

        If the lease has been discarded, the opening is lost, so that it can't be used late.
        """
        held = self._held.get(upstream)
        if held is None:
            return
        for candidate in held.leases:
            if candidate.number == lease:
                candidate.openings += 1

    def next_request(self, upstream: UpstreamId, now: float) -> GrantRequest | None:
        """Return the request to send now, if any.

        A request asks for as many openings as were attempted since the previous request, at least
        one and at least half of the previous demand. It is due when the leases are used up, or
        after half of the lifetime of the last lease.
        """
        held = self._held.setdefault(upstream, _HeldUpstream())
        held.discard_expired(now)
        if now < held.wait_until or self._is_waiting(held, now) or _has_lease_to_keep(held, now):
            return None
        held.demand = max(held.attempts, held.demand // 2, 1)
        held.attempts = 0
        self._number = next_request_number(self._number, now)
        held.pending = GrantRequest(self._number, upstream, held.demand)
        held.requested_at = now
        return held.pending

    def receive(self, grant: Grant, now: float) -> bool:
        """Process the answer to a request.

        :returns: whether it granted openings that can be used now.
        """
        held = self._held.get(grant.upstream)
        if held is None or held.pending is None or held.pending.request != grant.request:
            return False
        held.pending = None
        if grant.openings <= 0:
            held.wait_until = now + grant.lifetime_s
            return False
        expires_at = held.requested_at + grant.lifetime_s
        if now >= expires_at:
            return False
        number = LeaseNumber(grant.request)
        held.leases.append(_HeldLease(number, now, expires_at, grant.openings))
        return True

    def discard_leases(self, upstream: UpstreamId) -> None:
        """Discard the leases and the request for an upstream whose state got worse."""
        self._held.pop(upstream, None)

    def invalidate(self) -> None:
        """Discard all leases and requests after a pause."""
        self._held.clear()

    def is_waiting(self, upstream: UpstreamId, now: float) -> bool:
        """Return whether a request is outstanding."""
        held = self._held.get(upstream)
        return held is not None and self._is_waiting(held, now)

    def _is_waiting(self, held: _HeldUpstream, now: float) -> bool:
        return held.pending is not None and now < held.requested_at + self._request_timeout_s


def _has_lease_to_keep(held: _HeldUpstream, now: float) -> bool:
    if not any(lease.openings for lease in held.leases):
        return False
    last = held.leases[-1]
    half_life = last.received_at + RENEWAL_LIFETIME_SHARE * (last.expires_at - last.received_at)
    return now < half_life

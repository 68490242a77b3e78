"""Confirms by connections that a suspected upstream can't be reached.

A probe is a bare connection at first. Whether an unreachable upstream is back is asked with a
health check, since its address may belong to another server meanwhile.

Packets alone do not tell a dead upstream from a slow one. A refused connection proves that its
process has ended; connections that time out twice, while one to another upstream succeeds quickly,
prove that no packet from this entry arrives there. Only then the flows of the upstream are reset.
A congested link or a slow entry delays all connections alike, and proves nothing.
"""

from collections.abc import Iterable
from enum import Enum, unique

from chicoryproxy.forwarding.directory import Lifetime
from chicoryproxy.forwarding.model import UpstreamPhase
from chicoryproxy.ids import DomainId

TIMEOUTS_TO_CONFIRM = 2
RECHECK_S = 0.6
RECHECK_MAX_S = 4.0
"""The probes of an unreachable upstream begin at the first interval and slow down to this one."""

FRESH_S = 0.4
"""A probe that succeeded is not repeated within this time."""

PROOF_S = 0.8
"""Age of a failed probe at which it proves nothing about an open flow any more."""

FINISHING_S = 2.0
"""A draining upstream that refuses connections for this long has ended without saying so."""

FINISHING_RECHECK_S = 0.3
LEFT_S = 0.25
"""Time after an upstream's entry was removed in which its last answers may be on their way."""

MAX_CONCURRENT = 16

SWEEP_S = 1.0
"""Shortest interval of the probes of a whole failure domain."""


@unique
class ProbeResult(Enum):
    """What became of a connection to an upstream."""

    CONNECTED = "connected"
    CONNECTED_SLOWLY = "connected_slowly"
    OTHER_SERVER = "other_server"
    REFUSED = "refused"
    TIMEOUT = "timeout"
    DISCARDED = "discarded"


class _Case:
    """What the probes of one upstream have shown."""

    __slots__ = (
        "is_probing",
        "timeouts",
        "checked_s",
        "probed_s",
        "began_s",
        "next_s",
        "recheck_s",
        "refused_s",
    )

    def __init__(self) -> None:
        self.is_probing = False
        self.timeouts = 0
        self.checked_s = float("-inf")
        self.probed_s = float("-inf")
        self.began_s = float("-inf")
        self.next_s = float("-inf")
        self.recheck_s = RECHECK_S
        self.refused_s: float | None = None


class Confirmation:
    """Decides which upstreams to probe, and what the results mean.

    :param quiet_s: an upstream that answered a caller this shortly before the end of a probe is
        reachable, whatever the probe says.
    """

    def __init__(self, quiet_s: float = 0.0) -> None:
        self._quiet_s = quiet_s
        self._connected_s = float("-inf")
        self._cases: dict[Lifetime, _Case] = {}
        self._probing = 0
        self._swept_s: dict[DomainId, float] = {}

    def suspect(self, upstream: Lifetime, now: float) -> None:
        """Ask for a probe of an upstream, unless one succeeded just now."""
        case = self._open_case(upstream)
        if case.is_probing or upstream.is_unreachable or now - case.checked_s < FRESH_S:
            return
        case.next_s = now

    def take_due(self, now: float) -> list[Lifetime]:
        """Return the upstreams to probe now; each must get a result."""
        due: list[Lifetime] = []
        for upstream, case in list(self._cases.items()):
            if self._is_settled(upstream, case, now):
                del self._cases[upstream]
            elif not case.is_probing and case.checked_s < case.next_s <= now:
                if self._probing >= MAX_CONCURRENT:
                    break
                case.is_probing = True
                case.probed_s = now
                self._probing += 1
                due.append(upstream)
        return due

    def take_result(self, upstream: Lifetime, result: ProbeResult, now: float) -> bool:
        """Take the result of a probe.

        :returns: True if the upstream became reachable or unreachable by it.
        """
        case = self._cases.get(upstream)
        if case is None:
            return False
        case.is_probing = False
        self._probing -= 1
        if result is ProbeResult.DISCARDED:
            case.next_s = now
            return False
        case.checked_s = now
        if result is ProbeResult.CONNECTED:
            self._connected_s = now
        if result in (ProbeResult.CONNECTED, ProbeResult.CONNECTED_SLOWLY):
            case.timeouts = 0
            case.refused_s = None
            case.recheck_s = RECHECK_S
            return self._set_unreachable(upstream, False)
        if upstream.answered_s > case.probed_s - self._quiet_s:
            case.timeouts = 0
            case.next_s = now + self._quiet_s
            return False
        if result is ProbeResult.REFUSED and self._may_be_finishing(upstream, case, now):
            case.next_s = now + FINISHING_RECHECK_S
            return False
        case.timeouts += 1
        if result is ProbeResult.TIMEOUT and not upstream.is_unreachable:
            if case.timeouts == 1:
                case.began_s = case.probed_s
            if case.timeouts < TIMEOUTS_TO_CONFIRM or self._connected_s < case.began_s:
                case.checked_s = float("-inf")
                case.next_s = now
                return False
        case.next_s = now + case.recheck_s
        case.recheck_s = min(RECHECK_MAX_S, case.recheck_s * 2)
        return self._set_unreachable(upstream, True)

    def list_unreachable(self) -> list[Lifetime]:
        """Return the present upstreams that are out of reach."""
        return [upstream for upstream in self._cases if upstream.is_unreachable]

    def has_fresh_proof(self, upstream: Lifetime, now: float) -> bool:
        """Tell whether an unreachable upstream was out of reach just now, or has ended for good."""
        if upstream.phase is UpstreamPhase.GONE:
            return True
        case = self._cases.get(upstream)
        return case is not None and now - case.checked_s < PROOF_S

    def check(self, upstream: Lifetime, now: float) -> None:
        """Ask for a probe of an upstream in good standing, to see whether probes get through."""
        case = self._open_case(upstream)
        if not case.is_probing:
            case.checked_s = min(case.checked_s, now - FRESH_S)
            case.next_s = now

    def suspect_domain(self, domain: DomainId, present: Iterable[Lifetime], now: float) -> None:
        """Ask for probes of a whole failure domain, of which an upstream is out of reach.

        :param present: the upstreams of all failure domains.
        """
        if now - self._swept_s.get(domain, float("-inf")) < SWEEP_S:
            return
        self._swept_s[domain] = now
        for upstream in present:
            if upstream.entry.domain == domain:
                self.suspect(upstream, now)

    def _open_case(self, upstream: Lifetime) -> _Case:
        case = self._cases.get(upstream)
        if case is None:
            case = self._cases[upstream] = _Case()
        return case

    def _may_be_finishing(self, upstream: Lifetime, case: _Case, now: float) -> bool:
        """Tell whether a leaving upstream that accepts no connection may still answer requests."""
        if case.refused_s is None:
            case.refused_s = now
        if upstream.phase is UpstreamPhase.DRAINING:
            return now - case.refused_s < FINISHING_S
        has_left = upstream.phase is UpstreamPhase.GONE
        return has_left and now - upstream.phase_since_s < LEFT_S

    def _is_settled(self, upstream: Lifetime, case: _Case, now: float) -> bool:
        if case.is_probing:
            return False
        if upstream.phase is UpstreamPhase.GONE and upstream.is_unreachable:
            return True
        return not upstream.is_unreachable and case.next_s <= case.checked_s < now - RECHECK_S

    def _set_unreachable(self, upstream: Lifetime, is_unreachable: bool) -> bool:
        has_changed = upstream.is_unreachable is not is_unreachable
        upstream.is_unreachable = is_unreachable
        return has_changed

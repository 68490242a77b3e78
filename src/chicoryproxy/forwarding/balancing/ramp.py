"""Ramp of one upstream: the share of openings that its answers have earned so far."""

from enum import Enum, unique

from msgspec import Struct

from chicoryproxy.forwarding.peers.peermessages import RampReport
from chicoryproxy.forwarding.view.lifetime import Lifetime

INITIAL_SHARE = 0.5
"""Shares are in fair parts: 1 is the part of the openings that an upstream would get if all were
equal."""

MIN_SHARE = 0.25
"""Fair parts; a slow upstream still gets openings, by which it can show that it has recovered."""

GROWTH_PER_ANSWER = 0.25
"""The more openings it gets, the more answers it needs for the same relative growth."""

DOUBLING_S = 0.5
"""The share doubles no faster than this, however many answers come: most entries know the load of
an upstream only after a few heartbeats, and flows that are open can't be moved."""

LATE_WEIGHT = 2.0
"""A late answer cancels the effect of this many answers on time."""

UNLIMITED_S = 2.0
"""Upstreams of a service that all started together need no ramp after this time, in which nothing
could limit them; those that start later are compared with them."""

MAX_EXTRAPOLATION = 4.0
"""The answers that some entries counted are scaled up to all entries by no more than this."""

MAX_REPORTING_PEERS = 64
"""In larger failure domains the reports of the first ones suffice."""


@unique
class RampCause(Enum):
    """Why an upstream ramps up."""

    STARTED = "started"
    RETURNED = "returned"
    REACHABLE = "reachable"
    SUSPECTED = "suspected"
    DOMAIN_BACK = "domain_back"


class RampEvent(Struct, frozen=True):
    """Begin or end of a ramp, for the log.

    :param has_ended: False at the begin.
    :param on_time: answers that came on time, by the estimate for the whole failure domain.
    :param late: late or missing answers, by the same estimate.
    :param share: share at the time of the event, in fair parts (see ``INITIAL_SHARE``).
    :param candidates: upstreams that openings could go to, this one included.
    :param age_s: time since the begin.
    """

    upstream: Lifetime
    cause: RampCause
    has_ended: bool
    on_time: int = 0
    late: int = 0
    share: float = INITIAL_SHARE
    candidates: int = 0
    age_s: float = 0.0


class Ramp:
    """Evidence of one upstream since its ramp began.

    :ivar on_time: responses to this entry's requests that were not slow.
    :ivar late: slow responses, and requests and openings without an answer.
    :ivar peers: live peers of the own failure domain.
    :ivar candidates: upstreams that the last opening could go to, this one included; zero before
        the first.
    :ivar share: part of the openings that it may get, as if all upstreams were equal.
    :ivar is_delayed: this entry does not yet open flows there.
    :ivar unlimited_s: time since which all upstreams of the service were ramping, ``None`` if not.
    :ivar completed_s: when the share became no limit any more, ``None`` before.
    """

    def __init__(self, upstream: Lifetime, cause: RampCause, now: float) -> None:
        self.upstream = upstream
        self.cause = cause
        self.began_s = now
        self.on_time = 0
        self.late = 0
        self.peers = 0
        self.candidates = 0
        self._reports: dict[int, RampReport] = {}
        self._offset = INITIAL_SHARE
        self._updated_s = now
        self.share = INITIAL_SHARE
        self.is_delayed = False
        self.unlimited_s: float | None = None
        self.completed_s: float | None = None

    def record(self, is_late: bool, now: float) -> None:
        """Count an answer at this entry."""
        if is_late:
            self.late += 1
        else:
            self.on_time += 1
        self._update_share(now)

    def handle_report(self, host: int, report: RampReport, now: float) -> None:
        """Replace the counts of a peer; lower ones mean that it has begun anew."""
        known = self._reports.get(host)
        if known is None and len(self._reports) >= MAX_REPORTING_PEERS:
            return
        self._reports[host] = report
        if known is None or report.on_time < known.on_time or report.late < known.late:
            # Counts of before, or counts that are gone, say nothing of the answers of this moment.
            self._offset = self.share - self._estimate_earned()
        self._update_share(now)

    def complete(self, now: float) -> bool:
        """Complete the ramp if the share is no limit any more; return whether it is now.

        A cold upstream gets openings by its share, and would get none without a ramp.
        """
        if self.upstream.is_cold(now):
            return False
        is_earned = 0 < self.candidates <= self.share
        is_unlimited = self.unlimited_s is not None and now - self.unlimited_s >= UNLIMITED_S
        if self.completed_s is not None or not (is_earned or is_unlimited):
            return False
        self.completed_s = now
        return True

    def create_report(self) -> RampReport:
        """Create the report for the peers."""
        return RampReport(self.upstream.mark, self.on_time, self.late)

    def create_end(self, now: float) -> RampEvent:
        """Create the event of the end."""
        on_time, late = self._estimate_counts()
        return RampEvent(
            self.upstream,
            self.cause,
            True,
            round(on_time),
            round(late),
            round(self.share, 2),
            self.candidates,
            round(now - self.began_s, 3),
        )

    def _update_share(self, now: float) -> None:
        earned = self._estimate_earned()
        elapsed = min(1.0, (now - self._updated_s) / DOUBLING_S)
        limit = self.share * 2.0**elapsed
        self.share = max(MIN_SHARE, min(limit, earned + self._offset))
        # Answers beyond either limit are not credited later.
        self._offset = self.share - earned
        self._updated_s = now

    def _estimate_earned(self) -> float:
        """Return what the counted answers add to the share."""
        on_time, late = self._estimate_counts()
        return GROWTH_PER_ANSWER * (on_time - LATE_WEIGHT * late)

    def _estimate_counts(self) -> tuple[float, float]:
        """Estimate the counts of the whole failure domain from those of the known entries."""
        on_time = self.on_time + sum(report.on_time for report in self._reports.values())
        late = self.late + sum(report.late for report in self._reports.values())
        known = 1 + len(self._reports)
        scale = min(MAX_EXTRAPOLATION, max(1.0, (1 + self.peers) / known))
        return scale * on_time, scale * late

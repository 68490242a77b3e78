"""Performance of the upstreams: the response times that this entry sees, against the usual ones.

A response that waits in the queue of its upstream takes longer, so that the time also shows load of
other entries, sooner than their reports do. The usual time is the mean over the service. Only
ratios within a service are used: what makes all its upstreams slower changes no choice.
"""

from abc import ABC, abstractmethod
from collections import OrderedDict

from chicoryproxy.forwarding.view.lifetime import Lifetime
from chicoryproxy.ids import ServiceId

MAX_SAMPLES = 30
"""Responses over which a mean is taken: a new one has a weight of one over this number."""

PRIOR_SAMPLES = 4
"""Samples of the usual time that are added to those of an upstream, so that few prove little."""

OUTLIER_RATIO = 3.0
"""A longer response counts as this multiple of the usual time; some requests just take longer."""

MIN_FACTOR = 1.0
"""An upstream that fails at once answers fastest; that must not attract openings."""

MAX_FACTOR = 2.0
"""An upstream that seems slow still gets openings when the others are about twice as loaded."""

RETENTION_S = 10.0
"""Without responses for this long, an upstream counts as a usual one and is tried again."""

MAX_UPSTREAMS = 24_000
"""Beyond it, the one whose last response is oldest is discarded."""


class _Mean:
    """Decayed mean of response times."""

    __slots__ = ("value_s", "samples", "updated_s", "factor")

    def __init__(self) -> None:
        self.value_s = 0.0
        self.samples = 0
        self.updated_s = 0.0
        self.factor = 1.0

    def add(self, duration_s: float, now: float) -> None:
        self.samples = min(self.samples + 1, MAX_SAMPLES)
        self.value_s += (duration_s - self.value_s) / self.samples
        self.updated_s = now


class Performance(ABC):
    """Tells how the response times of an upstream compare with those of its service."""

    @abstractmethod
    def record_response(self, upstream: Lifetime, duration_s: float, now: float) -> None:
        """Record the time from a request, sent once, to its response."""

    @abstractmethod
    def get_factor(self, upstream: Lifetime) -> float | None:
        """Return the response time of an upstream as a multiple of the usual one.

        :returns: ``None`` if response times are not measured.
        """

    @abstractmethod
    def expire(self, now: float) -> None:
        """Discard what is too old."""


class NoPerformance(Performance):
    """Measures nothing; for comparisons."""

    def record_response(self, upstream: Lifetime, duration_s: float, now: float) -> None:
        """Do nothing."""

    def get_factor(self, upstream: Lifetime) -> float | None:
        """Return ``None``."""
        return None

    def expire(self, now: float) -> None:
        """Do nothing."""


class MeasuredPerformance(Performance):
    """Decayed means of the response times of each upstream and service."""

    def __init__(self) -> None:
        # In the order of their last samples.
        self._upstreams: OrderedDict[Lifetime, _Mean] = OrderedDict()
        self._services: dict[ServiceId, _Mean] = {}

    def __len__(self) -> int:
        return len(self._upstreams)

    def record_response(self, upstream: Lifetime, duration_s: float, now: float) -> None:
        """Record the time from a request, sent once, to its response."""
        usual = self._services.setdefault(upstream.entry.service, _Mean())
        if usual.samples:
            duration_s = min(duration_s, OUTLIER_RATIO * usual.value_s)
        usual.add(duration_s, now)
        mean = self._upstreams.get(upstream)
        if mean is None:
            mean = self._add_upstream(upstream)
        self._upstreams.move_to_end(upstream)
        mean.add(duration_s, now)
        mean.factor = _compute_factor(mean, usual.value_s)

    def get_factor(self, upstream: Lifetime) -> float | None:
        """Return the response time of an upstream as a multiple of the usual one."""
        mean = self._upstreams.get(upstream)
        return 1.0 if mean is None else mean.factor

    def expire(self, now: float) -> None:
        """Discard the means without recent samples; many of their upstreams have ended."""
        while self._upstreams:
            upstream, mean = next(iter(self._upstreams.items()))
            if now - mean.updated_s <= RETENTION_S:
                return
            del self._upstreams[upstream]

    def _add_upstream(self, upstream: Lifetime) -> _Mean:
        if len(self._upstreams) >= MAX_UPSTREAMS:
            self._upstreams.popitem(last=False)
        mean = self._upstreams[upstream] = _Mean()
        return mean


def _compute_factor(mean: _Mean, usual_s: float) -> float:
    if usual_s <= 0.0:
        return 1.0
    weighted_s = mean.value_s * mean.samples + usual_s * PRIOR_SAMPLES
    ratio = weighted_s / (usual_s * (mean.samples + PRIOR_SAMPLES))
    return min(MAX_FACTOR, max(MIN_FACTOR, ratio))


def create_performance() -> Performance:
    """Create the measurement of response times."""
    return MeasuredPerformance()

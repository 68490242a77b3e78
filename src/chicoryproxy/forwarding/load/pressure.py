"""Pressure on a service: outstanding requests per slot of the upstreams that take its openings."""

from chicoryproxy.forwarding.flows import FlowTable
from chicoryproxy.forwarding.health.domainreachability import DomainReachability
from chicoryproxy.forwarding.health.failuredetector import FailureDetector
from chicoryproxy.forwarding.health.unreachablereports import UnreachableReports
from chicoryproxy.forwarding.view.directory import Directory
from chicoryproxy.forwarding.view.lifetime import Lifetime
from chicoryproxy.ids import ServiceId

SAMPLE_INTERVAL_S = 0.05
"""A sample is used for this long, because it takes a pass over all upstreams of the service."""


MAX_RELATIVE_LOAD = 3.5
"""Requests per slot that one upstream counts for at most, relative to the less loaded upstreams.
Requests pile up at an upstream that doesn't answer; a few of these must not look like overload."""

MIN_COUNTED = 2
"""So many known requests always count; in a large fleet most upstreams have fewer."""


class _Sample:
    """Pressure at one time."""

    __slots__ = ("pressure", "sampled_s")

    def __init__(self, pressure: float, sampled_s: float) -> None:
        self.pressure = pressure
        self.sampled_s = sampled_s


class PressureEstimator:
    """Estimates the pressure that all entries together put on a service.

    The requests known here are those of this entry and of the peers with recent reports. They are
    scaled to all live peers, since an entry hears only a few of the others in a large fleet.

    Requests pile up at upstreams that are dead and not yet proved to be. Those that openings avoid
    therefore don't count, unless there are no others.

    :param domains: requests and slots of unreachable failure domains don't count.
    :param failure_detector: suspects upstreams that don't answer callers here.
    :param reports: upstreams that peers can't reach.
    """

    def __init__(
        self,
        directory: Directory,
        flows: FlowTable,
        domains: DomainReachability,
        failure_detector: FailureDetector,
        reports: UnreachableReports,
    ) -> None:
        self._directory = directory
        self._flows = flows
        self._domains = domains
        self._failure_detector = failure_detector
        self._reports = reports
        self._samples: dict[ServiceId, _Sample] = {}

    def get(self, service: ServiceId, now: float) -> float:
        """Return the pressure on a service; zero if it has no upstream that can be loaded."""
        sample = self._samples.get(service)
        if sample is None or now - sample.sampled_s >= SAMPLE_INTERVAL_S:
            sample = self._samples[service] = _Sample(self._compute(service, now), now)
        return sample.pressure

    def get_highest(self) -> float:
        """Return the highest of the last samples; zero if there is none."""
        return max((sample.pressure for sample in self._samples.values()), default=0.0)

    def expire(self, now: float) -> None:
        """Discard the samples that are too old to be used."""
        for service, sample in list(self._samples.items()):
            if now - sample.sampled_s >= SAMPLE_INTERVAL_S:
                del self._samples[service]

    def _compute(self, service: ServiceId, now: float) -> float:
        scale = self._flows.peer_loads.compute_fleet_scale()
        loads = [
            (self._flows.get_load(upstream).waiting, upstream.entry.slots)
            for upstream in self._list_counted(service, now)
        ]
        slots = sum(item[1] for item in loads)
        limit = MAX_RELATIVE_LOAD * _compute_usual_load(loads)
        known = sum(min(waiting, max(MIN_COUNTED, limit * size)) for waiting, size in loads)
        return known * scale / slots if slots else 0.0

    def _list_counted(self, service: ServiceId, now: float) -> list[Lifetime]:
        usable = [
            upstream
            for upstream in self._directory.iterate_service(service)
            if self._can_be_loaded(upstream, now)
        ]
        trusted = [upstream for upstream in usable if not self._is_avoided(upstream, now)]
        return trusted or usable

    def _is_avoided(self, upstream: Lifetime, now: float) -> bool:
        is_suspected = self._failure_detector.is_suspected(upstream, now)
        return is_suspected or self._reports.is_avoided(upstream, now)

    def _can_be_loaded(self, upstream: Lifetime, now: float) -> bool:
        domain = upstream.entry.domain
        return (
            upstream.can_open
            and not upstream.is_cold(now)
            and not self._directory.is_domain_out(domain)
            and not self._domains.is_unreachable(domain)
        )


def _compute_usual_load(loads: list[tuple[int, int]]) -> float:
    """Return the requests per slot of the two thirds of the upstreams with the least load.

    :param loads: requests and slots of each upstream.
    """
    ordered = sorted(loads, key=lambda item: item[0] / item[1])
    lower = ordered[: max(1, len(ordered) * 2 // 3)]
    slots = sum(item[1] for item in lower)
    return sum(item[0] for item in lower) / slots if slots else 0.0

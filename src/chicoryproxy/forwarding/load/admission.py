"""Admission control: refuses openings of low priority while the upstreams are overloaded.

Once every slot of a service is busy and a request waits for each, more flows add waiting time and
no throughput. The openings of the lowest priority are then refused first and at once, before they
reach an upstream, so that the room goes to those of higher priority.
"""

from abc import ABC, abstractmethod

import xxhash
from msgspec import Struct

from chicoryproxy.forwarding.balancing.trafficsplit import order_services
from chicoryproxy.forwarding.flows import FlowTable
from chicoryproxy.forwarding.health.domainreachability import DomainReachability
from chicoryproxy.forwarding.health.failuredetector import FailureDetector
from chicoryproxy.forwarding.health.unreachablereports import UnreachableReports
from chicoryproxy.forwarding.load.overload import LATE_SHARE, LateShare
from chicoryproxy.forwarding.load.pressure import PressureEstimator
from chicoryproxy.forwarding.load.priorityshares import PriorityShares
from chicoryproxy.forwarding.model import FlowId, Route
from chicoryproxy.forwarding.view.directory import Directory
from chicoryproxy.ids import ServiceId

PRESSURE_LIMIT = 3.0
"""Requests per slot above which openings are refused. One in work and one waiting keep a slot busy;
the third is for the error of the estimate, since nothing may be refused while there is room."""

PRESSURE_RANGE = 1.0
"""Requests per slot from no refusals to the most refusals."""

FLOOR_SHARE = 0.1
"""Share of the openings of each priority that is always admitted, so that none starves."""

EVIDENCE_HALF_LIFE_S = 0.3
"""A response counts half after this long as evidence of overload. Responses on time end refusals
within about a second, whatever the counts say."""

_ADMISSION_SEED = 1
"""Keeps the choice independent of that of the service, which hashes the flow without a seed."""


class AdmissionInputs(Struct, frozen=True):
    """What the admission of an opening is decided by.

    :param service: service that the opening is meant for.
    :param priority: priority of its route.
    :param pressure: outstanding requests of this priority and higher ones per slot of the service.
    :param late_share: share of the recent responses of the service that were late at this entry;
        ``None`` if there were too few.
    """

    service: ServiceId
    priority: int
    pressure: float
    late_share: float | None

    def compute_refused_share(self) -> float:
        """Return the share of such openings to refuse.

        Nothing is refused while the upstreams answer on time: the pressure is an estimate, which
        callers that moved to other entries can keep too high.
        """
        if self.late_share is None or self.late_share < LATE_SHARE:
            return 0.0
        return compute_refused_share(self.pressure)


class AdmissionControl(ABC):
    """Decides which openings are refused under overload."""

    @abstractmethod
    def admits(self, route: Route, flow: FlowId, now: float) -> bool:
        """Return whether an opening may be forwarded."""

    @abstractmethod
    def record_response(
        self,
        route: Route,
        service: ServiceId,
        duration_s: float,
        now: float,
        retransmission_age_s: float | None = None,
    ) -> None:
        """Record the time from a request on a route to its response.

        :param retransmission_age_s: time since the last retransmission of the request, ``None`` if
            there was none.
        """

    @abstractmethod
    def find_inputs(self, route: Route, flow: FlowId, now: float) -> AdmissionInputs | None:
        """Return what decides on an opening; ``None`` if its route is never refused."""

    @abstractmethod
    def get_highest_pressure(self) -> float:
        """Return the highest pressure of the services with recent openings."""

    @abstractmethod
    def expire(self, now: float) -> None:
        """Discard outdated state."""


class PriorityAdmission(AdmissionControl):
    """Refuses openings by the pressure of their own priority and higher ones.

    Requests of lower priority don't count, so that those on flows which are already open can't push
    out the openings of higher priority. The highest priority in use is never refused.
    """

    def __init__(self, pressure: PressureEstimator) -> None:
        self._pressure = pressure
        self._shares = PriorityShares()
        self._late_shares: dict[ServiceId, LateShare] = {}

    def admits(self, route: Route, flow: FlowId, now: float) -> bool:
        """Return whether an opening may be forwarded.

        The hash of the flow decides, so that the entries don't refuse in step.
        """
        inputs = self.find_inputs(route, flow, now)
        if inputs is None:
            return True
        point = xxhash.xxh3_64_intdigest(flow, seed=_ADMISSION_SEED) * 2.0**-64
        return point >= inputs.compute_refused_share()

    def record_response(
        self,
        route: Route,
        service: ServiceId,
        duration_s: float,
        now: float,
        retransmission_age_s: float | None = None,
    ) -> None:
        """Record the time from a request on a route to its response."""
        late_share = self._late_shares.get(service)
        if late_share is None:
            late_share = self._late_shares[service] = LateShare(EVIDENCE_HALF_LIFE_S)
        late_share.record(duration_s, now, route.latency_target_s, retransmission_age_s)
        if route.priority is not None:
            self._shares.record_response(service, route.priority, duration_s, now)

    def find_inputs(self, route: Route, flow: FlowId, now: float) -> AdmissionInputs | None:
        """Return what decides on an opening; ``None`` if its route is never refused."""
        if route.priority is None:
            return None
        service = order_services(route, flow)[0]
        share = self._shares.compute_share(service, route.priority, now)
        if share is None:
            return None
        pressure = share * self._pressure.get(service, now)
        evidence = self._late_shares.get(service)
        late_share = evidence.compute(now) if evidence else None
        return AdmissionInputs(service, route.priority, pressure, late_share)

    def get_highest_pressure(self) -> float:
        """Return the highest pressure of the services with recent openings."""
        return self._pressure.get_highest()

    def expire(self, now: float) -> None:
        """Discard outdated state."""
        self._pressure.expire(now)
        self._shares.expire(now)


def compute_refused_share(pressure: float) -> float:
    """Return the share of the openings to refuse; it rises linearly above the limit.

    :param pressure: outstanding requests per slot.
    """
    excess = (pressure - PRESSURE_LIMIT) / PRESSURE_RANGE
    return min(max(excess, 0.0), 1.0) * (1.0 - FLOOR_SHARE)


def create_admission_control(
    directory: Directory,
    flows: FlowTable,
    domains: DomainReachability,
    failure_detector: FailureDetector,
    reports: UnreachableReports,
) -> AdmissionControl:
    """Create the admission control of an entry."""
    return PriorityAdmission(
        PressureEstimator(directory, flows, domains, failure_detector, reports)
    )

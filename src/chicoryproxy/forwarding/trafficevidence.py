"""What the packets of callers tell of the upstreams: answers, response times and failures."""

from chicoryproxy.forwarding.balancing.performance import Performance
from chicoryproxy.forwarding.balancing.ramp import RampCause
from chicoryproxy.forwarding.balancing.slowstart import SlowStart
from chicoryproxy.forwarding.flows import Flow
from chicoryproxy.forwarding.health.failuredetector import FailureDetector
from chicoryproxy.forwarding.health.reachability import ReachabilityMonitor
from chicoryproxy.forwarding.health.upstreamfailures import UpstreamFailures
from chicoryproxy.forwarding.load.admission import AdmissionControl
from chicoryproxy.forwarding.load.overload import OverloadDetector
from chicoryproxy.forwarding.model import Route
from chicoryproxy.forwarding.trafficobserver import TrafficObserver
from chicoryproxy.forwarding.view.lifetime import Lifetime


class TrafficEvidence:
    """Passes each observation to the components that judge upstreams by it."""

    def __init__(
        self,
        failure_detector: FailureDetector,
        reachability: ReachabilityMonitor,
        failures: UpstreamFailures,
        overload: OverloadDetector,
        slow_start: SlowStart,
        performance: Performance,
        admission: AdmissionControl,
        observer: TrafficObserver,
    ) -> None:
        self._failure_detector = failure_detector
        self._reachability = reachability
        self._failures = failures
        self._overload = overload
        self._slow_start = slow_start
        self._performance = performance
        self._admission = admission
        self._observer = observer

    def record_failure(self, upstream: Lifetime, now: float) -> None:
        """Record that an upstream did not answer in time."""
        self._reachability.suspect(upstream, now)
        self._slow_start.record_failure(upstream, now)
        if self._failure_detector.record_failure(upstream, now):
            self._slow_start.begin(upstream, RampCause.SUSPECTED, now)
            failures = self._failure_detector.get_failures(upstream)
            self._observer.record_suspicion(upstream, failures)

    def record_response(
        self, route: Route | None, flow: Flow, upstream: Lifetime, duration_s: float, now: float
    ) -> None:
        """Record the time that an upstream took to respond on a flow.

        :param route: route of the flow; ``None`` if there is none any more.
        """
        self._observer.record_response(duration_s)
        self._slow_start.record_response(upstream, duration_s, now)
        if not flow.retransmissions:
            self._performance.record_response(upstream, duration_s, now)
        if route is None:
            return
        retransmission_age_s = now - flow.retransmitted_s if flow.retransmissions else None
        self._overload.record_response(
            duration_s, now, route.latency_target_s, retransmission_age_s
        )
        self._admission.record_response(
            route, upstream.entry.service, duration_s, now, retransmission_age_s
        )

    def record_answer(self, upstream: Lifetime, now: float) -> None:
        """Record that a caller acknowledged something that an upstream sent."""
        upstream.answered_s = now
        self._failure_detector.record_answer(upstream)
        self._failures.record_success(upstream.entry.domain, now)

"""What the forwarder tells of the traffic, for logs and metrics."""

from abc import ABC, abstractmethod

from chicoryproxy.forwarding.model import FlowId
from chicoryproxy.forwarding.view.lifetime import Lifetime


class TrafficObserver(ABC):
    """Receives measurements and events derived from the packets of callers."""

    @abstractmethod
    def record_handshake(self, duration_s: float) -> None:
        """Record the time from an opening to the caller's acknowledgement."""

    @abstractmethod
    def record_response(self, duration_s: float) -> None:
        """Record the time from a request to the first acknowledged byte of its response."""

    @abstractmethod
    def record_suspicion(self, upstream: Lifetime, failures: int) -> None:
        """Record that an upstream became suspected and openings avoid it."""

    @abstractmethod
    def record_upstream_change(self, flow: FlowId, former: Lifetime, upstream: Lifetime) -> None:
        """Record that the packets of an open flow go to another upstream than before."""

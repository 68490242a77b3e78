"""Slow start: the share of the openings that an upstream gets after a start or a recovery.

An upstream that has just started has no flows, so that every entry would choose it at once. While
it ramps up, it is considered for a share of the openings only. The share grows with answers that
come on time and shrinks with late ones. No entry coordinates: each one applies the share to its own
openings, and the answers that its peers counted are part of their heartbeats.
"""

from abc import ABC, abstractmethod

from chicoryproxy.forwarding.lifetime import Lifetime
from chicoryproxy.forwarding.model import FlowId
from chicoryproxy.forwarding.peermessages import Heartbeat, RampReport


class SlowStart(ABC):
    """Limits the share of openings at upstreams that are ramping up."""

    @abstractmethod
    def begin(self, upstream: Lifetime, now: float) -> None:
        """Start a ramp: the upstream has started, recovered or returned."""

    @abstractmethod
    def is_ramping(self, upstream: Lifetime) -> bool:
        """Return whether an upstream is ramping up."""

    @abstractmethod
    def accepts(self, upstream: Lifetime, flow: FlowId, candidates: int) -> bool:
        """Return whether a ramping upstream is considered for an opening.

        :param candidates: upstreams that the opening could go to otherwise.
        """

    @abstractmethod
    def record_response(self, upstream: Lifetime, duration_s: float, now: float) -> None:
        """Record the time from a request to its response, also of upstreams that don't ramp."""

    @abstractmethod
    def record_failure(self, upstream: Lifetime, now: float) -> None:
        """Record an opening or a request that was not answered in time."""

    @abstractmethod
    def list_reports(self) -> tuple[RampReport, ...]:
        """Return what this entry has counted, for its heartbeats."""

    @abstractmethod
    def handle_heartbeat(self, heartbeat: Heartbeat, peers: int, now: float) -> None:
        """Take over the counts of a peer.

        :param peers: live peers of the own failure domain.
        """

    @abstractmethod
    def expire(self, now: float) -> None:
        """End the ramps that are complete, and those of ended upstreams."""


class NoSlowStart(SlowStart):
    """Never limits; for deployments whose settings don't ask for slow start."""

    def begin(self, upstream: Lifetime, now: float) -> None:
        """Do nothing."""

    def is_ramping(self, upstream: Lifetime) -> bool:
        """Return False."""
        return False

    def accepts(self, upstream: Lifetime, flow: FlowId, candidates: int) -> bool:
        """Return True."""
        return True

    def record_response(self, upstream: Lifetime, duration_s: float, now: float) -> None:
        """Do nothing."""

    def record_failure(self, upstream: Lifetime, now: float) -> None:
        """Do nothing."""

    def list_reports(self) -> tuple[RampReport, ...]:
        """Return nothing."""
        return ()

    def handle_heartbeat(self, heartbeat: Heartbeat, peers: int, now: float) -> None:
        """Do nothing."""

    def expire(self, now: float) -> None:
        """Do nothing."""


def create_slow_start(is_enabled: bool) -> SlowStart:
    """Create the slow start of an entry.

    :param is_enabled: the settings of the deployment ask for it.
    """
    return NoSlowStart()

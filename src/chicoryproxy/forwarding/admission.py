"""Admission control: refuses openings of low priority while the upstreams are overloaded.

Once every slot of a service is busy and a request waits for each, more flows add waiting time and
no throughput. The openings of the lowest priority are then refused first and at once, before they
reach an upstream, so that the room goes to those of higher priority.
"""

from abc import ABC, abstractmethod

from chicoryproxy.forwarding.model import FlowId, Route


class AdmissionControl(ABC):
    """Decides which openings are refused under overload."""

    @abstractmethod
    def admits(self, route: Route, flow: FlowId, now: float) -> bool:
        """Return whether an opening may be forwarded."""


class UnlimitedAdmission(AdmissionControl):
    """Admits every opening; for deployments whose settings don't ask for admission control."""

    def admits(self, route: Route, flow: FlowId, now: float) -> bool:
        """Return True."""
        return True

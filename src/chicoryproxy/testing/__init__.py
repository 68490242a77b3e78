"""Test doubles: simulated clock, network, fabric, upstreams and callers.

A ``FakeFleet`` drives the real cores of several instances in one process as a discrete-event
simulation: a run takes no longer than processing its events, and every delay, loss and random
choice derives from one seed. ``create_tenggara`` and ``create_al_batinah`` create the deployments
of the two users with their current sizes and latencies. The stand-in modules replace the platform,
the fabric, upstreams and callers on real sockets.
"""

from chicoryproxy.testing._fakefleet import FakeFleet
from chicoryproxy.testing._fakeflow import FakeFlow, FlowOutcome
from chicoryproxy.testing._fakenode import FakeNode
from chicoryproxy.testing._fakeplatform import FakePlatform
from chicoryproxy.testing._fakeupstream import FakeUpstream
from chicoryproxy.testing._fakewire import Schedule, Segment, unpack_segment
from chicoryproxy.testing.deployments import (
    Deployment,
    change_upstreams,
    create_al_batinah,
    create_instances,
    create_tenggara,
    create_upstream,
    set_domain,
)

__all__ = [
    "Deployment",
    "FakeFleet",
    "FakeFlow",
    "FakeNode",
    "FakePlatform",
    "FakeUpstream",
    "FlowOutcome",
    "Schedule",
    "Segment",
    "change_upstreams",
    "create_al_batinah",
    "create_instances",
    "create_tenggara",
    "create_upstream",
    "set_domain",
    "unpack_segment",
]

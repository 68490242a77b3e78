"""Fakes for tests: a clock, a network between cores, a fabric, upstreams and callers.

A ``FakeFleet`` drives the real cores of several instances in one process. Time is an event queue,
so that a run takes no longer than its events, and every delay, loss and choice comes from one
seed. ``create_tenggara`` and ``create_al_batinah`` give both users' deployments with the sizes
and latencies of today. The stand-ins are processes' parts that speak to real sockets.
"""

from chicoryproxy.testing._fakefleet import FakeFleet, FakeNode, FakePlatform
from chicoryproxy.testing._fakehosts import FakeFlow, FakeUpstream, FlowOutcome
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

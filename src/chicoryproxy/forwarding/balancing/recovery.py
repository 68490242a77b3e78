"""Decides after which changes of the view upstreams ramp up."""

from chicoryproxy.forwarding.balancing.ramp import RampCause
from chicoryproxy.forwarding.balancing.slowstart import SlowStart
from chicoryproxy.forwarding.model import NO_REVISION, UpstreamPhase
from chicoryproxy.forwarding.view.directory import Directory
from chicoryproxy.forwarding.view.directoryevent import DirectoryEvent, DirectoryEventKind
from chicoryproxy.forwarding.view.lifetime import Lifetime
from chicoryproxy.ids import UpstreamId

IDLE_S = 1.0
"""An upstream that has answered a caller less than this ago did not lack openings."""


def begin_ramps(
    event: DirectoryEvent, directory: Directory, slow_start: SlowStart, now: float
) -> None:
    """Begin the ramps of the upstreams that an event brings into service.

    In the first view of an entry every upstream is new, though most have run for long.
    """
    if directory.known_revision == NO_REVISION:
        return
    if event.kind is DirectoryEventKind.DOMAIN_BACK:
        for upstream in directory.iterate_present():
            if upstream.entry.domain == event.subject:
                slow_start.begin(upstream, RampCause.DOMAIN_BACK, now)
    elif event.kind is DirectoryEventKind.UPSTREAM_NEW:
        started = directory.find_present(UpstreamId(event.subject))
        if started is not None and now - started.answered_s > IDLE_S:
            slow_start.begin(started, RampCause.STARTED, now)
    elif event.lifetime is not None and _has_returned(event.lifetime, now):
        slow_start.begin(event.lifetime, RampCause.RETURNED, now)


def _has_returned(upstream: Lifetime, now: float) -> bool:
    """Return whether an upstream whose phase changed serves again after a while."""
    return upstream.phase is UpstreamPhase.SERVING and now - upstream.answered_s > IDLE_S

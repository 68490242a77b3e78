"""Upstreams that answered an opening although its flow opened at another one.

Copies of an opening may go to several upstreams, and each that takes one repeats its answer until
it gives up. A caller echoes the mark of the last answer that it received, used or not. An entry
that has no record of the flow would send its packets to an upstream that doesn't hold it, and which
then resets the flow.

Each unused upstream therefore gets the opening once more as soon as the flow is open, now with the
mark of the flow's upstream. It repeats that mark in its later answers, so that all marks that the
caller can echo lead to the same upstream. If this is lost, the next packet with the mark of the
unused upstream shows it.
"""

from collections.abc import Callable

from msgspec import Struct

from chicoryproxy.forwarding.flows import Flow
from chicoryproxy.forwarding.model import Mark
from chicoryproxy.forwarding.view.lifetime import Lifetime

HANDSHAKE_S = 9.0
"""An upstream repeats an unused answer for about this long. Later it would take the opening for
that of a new flow."""

MIN_INTERVAL_S = 0.1
"""Minimum interval between two of these openings of one flow; a caller may send many packets before
the next answer arrives."""


class RepeatedOpening(Struct, frozen=True):
    """An opening that goes to an upstream once more.

    :param data: the opening as its caller sent it.
    :param target: upstream that gets it.
    :param mark_bytes: encoded mark of the upstream at which the flow is open.
    """

    data: bytes
    target: Lifetime
    mark_bytes: bytes


class UnusedHandshakes:
    """Collects the openings that have to be sent once more."""

    def __init__(self) -> None:
        self._repeated: list[RepeatedOpening] = []

    def pop_repeated(self) -> list[RepeatedOpening]:
        """Return the openings to send now."""
        repeated, self._repeated = self._repeated, []
        return repeated

    def handle_packet(
        self, flow: Flow, mark: Mark, may_open: Callable[[Lifetime], bool], now: float
    ) -> None:
        """Handle a packet of an open flow of which this entry has sent copies of the opening.

        :param mark: mark in the packet, as its caller sent it.
        :param may_open: returns whether an upstream may get the opening of this flow.
        """
        if flow.upstream is None:
            return
        unused = [upstream for upstream in flow.tried if upstream is not flow.upstream]
        if not unused or now - flow.tried_s >= HANDSHAKE_S:
            flow.opening = b""
            return
        is_misled = mark != flow.upstream.mark and now - flow.corrected_s >= MIN_INTERVAL_S
        if flow.corrected_to is flow.upstream and not is_misled:
            return
        flow.corrected_to = flow.upstream
        flow.corrected_s = now
        self._repeated.extend(
            RepeatedOpening(flow.opening, upstream, flow.upstream.mark_bytes)
            for upstream in unused
            if may_open(upstream)
        )

"""Exchange of grant requests and opening outcomes between an entry and the upstream owners."""

from chicoryproxy.protocol.actions import SendToPeer
from chicoryproxy.protocol.messages import GrantRequest, OpeningOutcomes, Priority
from chicoryproxy.routing.context import Actions, EntryContext

OUTCOME_INTERVAL_S = 1.0


class LeaseExchange:
    """Requests openings from the owners of upstreams and reports the outcomes of openings to them.

    :param context: state of the entry.
    """

    def __init__(self, context: EntryContext) -> None:
        self._context = context
        self._next_outcome_s = 0.0
        self._reported: list[OpeningOutcomes] = []

    def tick(self, now: float) -> Actions:
        """Return the requests and reports that are due."""
        return self._ask_owners(now) + self._send_outcomes(now)

    def collect_reported(self) -> tuple[OpeningOutcomes, ...]:
        """Return the outcomes collected for owned upstreams, to be sent to the view, and clear."""
        reported, self._reported = tuple(self._reported), []
        return reported

    def _ask_owners(self, now: float) -> Actions:
        actions: Actions = []
        for request in self._context.openings.collect_requests():
            owner = self._context.find_owner(request.upstream)
            if owner == self._context.own:
                self._grant_self(request, now)
            elif owner is not None:
                actions.append(SendToPeer(owner, request, Priority.SAFETY))
        return actions

    def _grant_self(self, request: GrantRequest, now: float) -> None:
        grant = self._context.decide_grant(self._context.own, request, now)
        self._context.grant_holder.receive(grant, now)

    def _send_outcomes(self, now: float) -> Actions:
        if now < self._next_outcome_s:
            return []
        self._next_outcome_s = now + OUTCOME_INTERVAL_S
        actions: Actions = []
        for outcomes in self._context.outcomes.collect():
            actions += self._deliver(outcomes, now)
        return actions

    def _deliver(self, outcomes: OpeningOutcomes, now: float) -> Actions:
        owner = self._context.find_owner(outcomes.upstream)
        if owner is None:
            return []
        if owner != self._context.own:
            return [SendToPeer(owner, outcomes, Priority.HANDOVER)]
        self._context.grant_owner.record_outcomes(outcomes, now)
        self._reported.append(outcomes)
        return []


def create_lease_exchange(context: EntryContext) -> LeaseExchange:
    """Create the lease exchange of one entry."""
    return LeaseExchange(context)

"""Fast failure detection for the homes that this entry passes packets to.

Membership takes seconds to detect a dead instance. A home that sends nothing after packets were
passed to it is bypassed earlier: its successor has the records, and queries the other peers for
those that it lacks.
"""

from chicoryproxy.ids import InstanceId

RESPONSE_TIMEOUT_S = 0.6


class PeerLiveness:
    """Tracks since when each peer has not responded to passed packets."""

    def __init__(self) -> None:
        self._unanswered_since_s: dict[InstanceId, float] = {}

    def record_message(self, peer: InstanceId) -> None:
        """Mark a peer as responsive after a message from it."""
        self._unanswered_since_s.pop(peer, None)

    def record_passed_packet(self, peer: InstanceId, now: float) -> None:
        """Start the response timeout of a peer unless it is running already."""
        self._unanswered_since_s.setdefault(peer, now)

    def is_unresponsive(self, peer: InstanceId, now: float) -> bool:
        """Return whether a peer has exceeded the response timeout."""
        since = self._unanswered_since_s.get(peer)
        return since is not None and now - since > RESPONSE_TIMEOUT_S

    def reset(self) -> None:
        """Clear all timeouts, as after a pause of this instance."""
        self._unanswered_since_s.clear()


def create_peer_liveness() -> PeerLiveness:
    """Create the liveness state of an entry that has passed no packet yet."""
    return PeerLiveness()

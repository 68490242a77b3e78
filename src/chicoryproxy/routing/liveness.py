"""Signs of life of the homes that this entry passes packets to.

Membership takes seconds to notice a dead instance. A home that doesn't react to passed packets is
avoided sooner: its successor has the records, and asks the other peers for what it lacks.
"""

from chicoryproxy.ids import InstanceId

RESPONSE_TIMEOUT_S = 0.6


class PeerLiveness:
    """Keeps since when a peer has not reacted to passed packets."""

    def __init__(self) -> None:
        self._unanswered_since_s: dict[InstanceId, float] = {}

    def record_message(self, peer: InstanceId) -> None:
        """Note a message of a peer."""
        self._unanswered_since_s.pop(peer, None)

    def record_passed_packet(self, peer: InstanceId, now: float) -> None:
        """Note a packet that was passed to a peer."""
        self._unanswered_since_s.setdefault(peer, now)

    def is_unresponsive(self, peer: InstanceId, now: float) -> bool:
        """Return whether a peer has not reacted for longer than a living one would take."""
        since = self._unanswered_since_s.get(peer)
        return since is not None and now - since > RESPONSE_TIMEOUT_S

    def reset(self) -> None:
        """Start anew, as after a pause of this instance."""
        self._unanswered_since_s.clear()


def create_peer_liveness() -> PeerLiveness:
    """Create the contacts of an entry that has passed no packet yet."""
    return PeerLiveness()

"""Signs of life of the homes that this entry passes packets to.

Membership takes seconds to notice a dead instance. A home that doesn't react to passed packets is
avoided sooner: its successor has the records, and asks the other peers for what it lacks.
"""

from chicoryproxy.ids import InstanceId

SILENCE_S = 0.6


class PeerContact:
    """Keeps since when a peer has not reacted to passed packets."""

    def __init__(self) -> None:
        self._unanswered_since_s: dict[InstanceId, float] = {}

    def note_heard(self, peer: InstanceId) -> None:
        """Note a message of a peer."""
        self._unanswered_since_s.pop(peer, None)

    def note_passed(self, peer: InstanceId, now: float) -> None:
        """Note a packet that was passed to a peer."""
        self._unanswered_since_s.setdefault(peer, now)

    def is_silent(self, peer: InstanceId, now: float) -> bool:
        """Return whether a peer has not reacted for longer than a living one would take."""
        since = self._unanswered_since_s.get(peer)
        return since is not None and now - since > SILENCE_S

    def forget_all(self) -> None:
        """Start anew, as after a pause of this instance."""
        self._unanswered_since_s.clear()


def create_peer_contact() -> PeerContact:
    """Create the contacts of an entry that has passed no packet yet."""
    return PeerContact()

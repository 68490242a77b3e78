"""Order of membership probes, and probes relayed for other members."""

from collections.abc import Collection

from msgspec import Struct

from chicoryproxy.ids import InstanceId
from chicoryproxy.prng import Prng

HIDDEN_PROBE_EVERY = 4
"""One in this many probes goes to a hidden member."""

RECOVERY_PROBE_EVERY = 2
"""As ``HIDDEN_PROBE_EVERY``, while a partition heals."""

MAX_RELAYS = 256
MAX_URGENT_PROBES = 64


class ProbeOrder:
    """Chooses the member to probe next.

    :param prng: source of the pseudo-random choices.

    :ivar hidden: hidden members, least recently probed first.
    """

    def __init__(self, prng: Prng) -> None:
        self.hidden: dict[InstanceId, None] = {}
        self._prng = prng
        self._round: list[InstanceId] = []
        self._urgent: dict[InstanceId, None] = {}
        self._probes = 0

    def add(self, instance: InstanceId) -> None:
        """Insert a new member at a random position of the current round."""
        self._round.insert(self._prng.draw_index(len(self._round) + 1), instance)

    def prioritize(self, instance: InstanceId) -> None:
        """Probe a member next, unless ``MAX_URGENT_PROBES`` members are already prioritized."""
        if len(self._urgent) < MAX_URGENT_PROBES:
            self._urgent[instance] = None

    def should_probe_hidden(self, is_recovering: bool, has_reachable: bool) -> bool:
        """Count a probe and return whether it goes to a hidden member.

        :param is_recovering: a partition is healing.
        :param has_reachable: at least one member answers.
        """
        self._probes += 1
        every = RECOVERY_PROBE_EVERY if is_recovering else HIDDEN_PROBE_EVERY
        return bool(self.hidden) and (self._probes % every == 0 or not has_reachable)

    def rotate_hidden(self) -> InstanceId:
        """Return the least recently probed hidden member and move it to the end."""
        target = next(iter(self.hidden))
        del self.hidden[target]
        self.hidden[target] = None
        return target

    def pop_next(self, members: Collection[InstanceId]) -> InstanceId | None:
        """Return the next member to probe, or ``None`` if all are hidden."""
        while self._urgent:
            urgent = next(iter(self._urgent))
            del self._urgent[urgent]
            if urgent in members:
                return urgent
        for _ in range(2):
            while self._round:
                target = self._round.pop()
                if target in members and target not in self.hidden:
                    return target
            self._round = self._prng.draw_sample(list(members), len(members))
        return None


class Relay(Struct, frozen=True):
    """A probe sent on behalf of another instance.

    :param origin: instance that requested the probe.
    :param number: probe number at the origin.
    """

    origin: InstanceId
    number: int


class RelayTable:
    """The newest ``MAX_RELAYS`` relayed probes that wait for an answer."""

    def __init__(self) -> None:
        self._relays: dict[int, Relay] = {}

    def add(self, number: int, relay: Relay) -> None:
        """Add a relayed probe under its local number, replacing the oldest if full."""
        if len(self._relays) >= MAX_RELAYS:
            del self._relays[next(iter(self._relays))]
        self._relays[number] = relay

    def pop(self, number: int) -> Relay | None:
        """Remove and return the relayed probe with a local number, if any."""
        return self._relays.pop(number, None)

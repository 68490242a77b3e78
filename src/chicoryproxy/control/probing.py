"""Order of the probes of members, and the probes that others asked for."""

from collections.abc import Collection

from msgspec import Struct

from chicoryproxy.draws import Draws
from chicoryproxy.ids import InstanceId

HIDDEN_PROBE_EVERY = 4
"""One of so many probes goes to a hidden instance; every second one while a partition heals."""

RECOVERY_PROBE_EVERY = 2
MAX_RELAYS = 256
MAX_URGENT_PROBES = 64


class ProbeOrder:
    """Which member is probed next.

    :param draws: of the pseudo-random choices.

    :ivar hidden: members that do not answer, the one probed longest ago first.
    """

    def __init__(self, draws: Draws) -> None:
        self.hidden: dict[InstanceId, None] = {}
        self._draws = draws
        self._round: list[InstanceId] = []
        self._urgent: dict[InstanceId, None] = {}
        self._probes = 0

    def add(self, instance: InstanceId) -> None:
        """Put a new member at a random place of the round."""
        self._round.insert(self._draws.draw_index(len(self._round) + 1), instance)

    def prioritize(self, instance: InstanceId) -> None:
        """Probe a member before all others, unless too many wait for that."""
        if len(self._urgent) < MAX_URGENT_PROBES:
            self._urgent[instance] = None

    def should_probe_hidden(self, is_recovering: bool, has_reachable: bool) -> bool:
        """Count a probe; tell whether it goes to a hidden member.

        :param is_recovering: a partition heals.
        :param has_reachable: some members answer.
        """
        self._probes += 1
        every = RECOVERY_PROBE_EVERY if is_recovering else HIDDEN_PROBE_EVERY
        return bool(self.hidden) and (self._probes % every == 0 or not has_reachable)

    def rotate_hidden(self) -> InstanceId:
        """Return the hidden member that was probed longest ago."""
        target = next(iter(self.hidden))
        del self.hidden[target]
        self.hidden[target] = None
        return target

    def pop_next(self, members: Collection[InstanceId]) -> InstanceId | None:
        """Return the next member of the round, ``None`` if there is none that is not hidden."""
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
            self._round = self._draws.draw_sample(list(members), len(members))
        return None


class Relay(Struct, frozen=True):
    """A probe on another instance's behalf.

    :param number: of the probe at the instance that asked for it.
    """

    origin: InstanceId
    number: int


class RelayTable:
    """Probes on others' behalf that wait for an answer, the newest ones only."""

    def __init__(self) -> None:
        self._relays: dict[int, Relay] = {}

    def add(self, number: int, relay: Relay) -> None:
        """Note a probe by its own number."""
        if len(self._relays) >= MAX_RELAYS:
            del self._relays[next(iter(self._relays))]
        self._relays[number] = relay

    def pop(self, number: int) -> Relay | None:
        """Return and forget the probe of a number."""
        return self._relays.pop(number, None)

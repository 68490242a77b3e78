"""Types of the messages between the load balancer's own processes.

``codec`` encodes and decodes them as Cap'n Proto. Messages between entries use the peer address,
messages between views use the view address, and ``ViewUpdate`` and ``EntryReport`` use the link
between the two processes of one instance.
"""

from enum import IntEnum, unique

from msgspec import Struct

from chicoryproxy.ids import (
    Epoch,
    FlowKey,
    Incarnation,
    InstanceId,
    ServiceId,
    SlotIndex,
    UpstreamId,
    Version,
)
from chicoryproxy.model import (
    Configuration,
    Generation,
    Instance,
    UpstreamCondition,
)
from chicoryproxy.states import MemberState


@unique
class Priority(IntEnum):
    """Priority of a message in the control budget; a lower value has precedence.

    ``SAFETY`` is never refused; ``HINT`` is refused first.
    """

    SAFETY = 0
    MEMBERSHIP = 1
    HANDOVER = 2
    HINT = 3


# Messages between entries.


class FlowRecord(Struct, frozen=True):
    """The upstream of one flow in a contested slot."""

    flow: FlowKey
    service: ServiceId
    upstream: UpstreamId


class PassedPacket(Struct, frozen=True):
    """A packet that an entry passes to the home of its slot.

    The receiver never passes it on again.

    :param version: highest configuration version that the sender has.
    :param packet: the unmodified inner IP packet.
    """

    version: Version
    packet: bytes


class FlowHints(Struct, frozen=True):
    """Decisions of a home, sent to the entry that passed the packets and to the successor."""

    records: tuple[FlowRecord, ...]


class SlotName(Struct, frozen=True, order=True):
    """Identifies a slot of a service together with the size of its placement table.

    :param size: number of slots in the table that ``slot`` indexes.
    """

    service: ServiceId
    slot: SlotIndex
    size: int


class SlotQuestion(Struct, frozen=True):
    """A slot whose records are requested.

    :param base: upstream that the sender uses for flows without a record; empty if there is none.
        Records that name it are omitted from the answer unless the receiver has another base.
    """

    slot: SlotName
    base: UpstreamId


class FlowQuery(Struct, frozen=True):
    """Requests a peer's records of contested slots.

    :param query: request number that the answer repeats.
    """

    query: int
    questions: tuple[SlotQuestion, ...]


class SlotFloor(Struct, frozen=True):
    """The version at which a slot was last released."""

    slot: SlotName
    version: Version


class FlowAnswer(Struct, frozen=True):
    """All records that a peer has for the slots of a query, and the releases that it knows."""

    query: int
    records: tuple[FlowRecord, ...]
    floors: tuple[SlotFloor, ...] = ()


class SlotRelease(Struct, frozen=True):
    """Statement of a home that a slot has only one candidate upstream left.

    :param version: newest generation of the service that the home took into account.
    :param epoch: highest epoch of the slot's upstream that the home took into account.
    """

    slot: SlotName
    version: Version
    epoch: Epoch


class Handover(Struct, frozen=True):
    """Records and releases that a home transfers to a successor.

    :param number: sequence number that the successor acknowledges.
    :param releases: releases that the home has issued, or issues once they are acknowledged.
    """

    number: int
    records: tuple[FlowRecord, ...]
    releases: tuple[SlotRelease, ...] = ()


class HandoverAck(Struct, frozen=True):
    """The successor acknowledges a handover."""

    number: int


class SlotQuery(Struct, frozen=True):
    """Asks an entry whether contested slots still have flows on an older candidate.

    :param query: request number that the report repeats.
    """

    query: int
    slots: tuple[SlotName, ...]


class SlotActivity(Struct, frozen=True):
    """Whether an entry has live records that name an older candidate of a contested slot.

    :param version: newest version of the service that the entry has.
    """

    slot: SlotName
    version: Version
    live: bool


class SlotReport(Struct, frozen=True):
    """Answer to ``SlotQuery`` with one activity per slot."""

    query: int
    activities: tuple[SlotActivity, ...]


class SlotReleases(Struct, frozen=True):
    """A batch of releases."""

    releases: tuple[SlotRelease, ...]


class ReleaseQuery(Struct, frozen=True):
    """Asks the home of slots to resend the releases that it has issued."""

    slots: tuple[SlotName, ...]


class GrantRequest(Struct, frozen=True):
    """Asks the owner of an upstream for permission to open new flows.

    :param request: request number that the grant repeats.
    :param openings: number of openings that are requested.
    """

    request: int
    upstream: UpstreamId
    openings: int


class Grant(Struct, frozen=True):
    """A lease of openings, which starts at the time when the requester sent its request.

    :param openings: number of openings granted; zero is a refusal.
    :param lifetime_s: lifetime of the lease, in seconds.
    """

    request: int
    upstream: UpstreamId
    openings: int
    lifetime_s: float


class OpeningOutcomes(Struct, frozen=True):
    """Outcomes of openings at an upstream since the last report, sent to its owner.

    :param answered: number of openings that the upstream accepted.
    :param refused: number of openings that the upstream reset.
    :param lost: number of openings that got no response.
    """

    upstream: UpstreamId
    answered: int
    refused: int
    lost: int


class LeavingNotice(Struct, frozen=True):
    """Announces that the sender is about to stop; receivers stop using it as a home."""

    instance: InstanceId


class LeavingAck(Struct, frozen=True):
    """Acknowledges the leaving notice of the receiver."""

    instance: InstanceId


# Messages between views.


class MemberUpdate(Struct, frozen=True):
    """State of one member, disseminated by gossip."""

    instance: InstanceId
    state: MemberState
    incarnation: Incarnation


class Gossip(Struct, frozen=True):
    """Updates that are piggybacked on each probe message.

    :param version: highest configuration version that the sender has.
    """

    version: Version
    members: tuple[MemberUpdate, ...] = ()
    conditions: tuple[UpstreamCondition, ...] = ()


class Ping(Struct, frozen=True):
    """A membership probe."""

    number: int
    gossip: Gossip


class Ack(Struct, frozen=True):
    """Answer to a probe.

    :param subject: instance that responded.
    """

    number: int
    subject: InstanceId
    gossip: Gossip


class PingRequest(Struct, frozen=True):
    """Asks a peer for an indirect probe of ``subject``."""

    number: int
    subject: InstanceId
    gossip: Gossip


class VersionFetch(Struct, frozen=True):
    """Requests the configuration and the retained generations of a peer.

    :param have: configuration version that the sender has.
    """

    have: Version


class VersionBody(Struct, frozen=True):
    """The newest configuration of a peer and its retained generations."""

    configuration: Configuration
    generations: tuple[Generation, ...]
    instances: tuple[Instance, ...]
    conditions: tuple[UpstreamCondition, ...]


# Messages between the view and the entry of one instance.


class Member(Struct, frozen=True):
    """A peer and its membership state."""

    instance: Instance
    state: MemberState


class ViewUpdate(Struct, frozen=True):
    """The complete view of the fleet that the entry works with.

    :param number: increases with each update of one view process.
    :param highest: highest configuration version known from any peer; above the version of
        ``configuration`` while this instance is behind.
    :param placed: version that new flows are placed by.
    :param stale: true after a pause of the process until a peer has confirmed the view.
    """

    number: int
    configuration: Configuration
    generations: tuple[Generation, ...]
    members: tuple[Member, ...]
    conditions: tuple[UpstreamCondition, ...]
    highest: Version
    placed: Version
    stale: bool


class ServiceClean(Struct, frozen=True):
    """All slots of a service are clean at a version, so older generations may be discarded."""

    service: ServiceId
    version: Version


class EntryReport(Struct, frozen=True):
    """Report of an entry to its view.

    :param outcomes: outcomes that all entries observed at the upstreams that this instance owns.
    :param warmed: owned upstreams whose warm-up has reached full capacity.
    """

    clean: tuple[ServiceClean, ...] = ()
    outcomes: tuple[OpeningOutcomes, ...] = ()
    warmed: tuple[UpstreamId, ...] = ()


EntryMessage = (
    PassedPacket
    | FlowHints
    | FlowQuery
    | FlowAnswer
    | Handover
    | HandoverAck
    | SlotQuery
    | SlotReport
    | SlotReleases
    | ReleaseQuery
    | GrantRequest
    | Grant
    | OpeningOutcomes
    | LeavingNotice
    | LeavingAck
)
"""Messages that entries send to each other."""

ViewMessage = Ping | Ack | PingRequest | VersionFetch | VersionBody
"""Messages that views send to each other."""

LinkMessage = ViewUpdate | EntryReport
"""Messages on the link between the view and the entry of one instance."""

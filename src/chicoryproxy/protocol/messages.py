"""Messages between the system's own processes, as typed values.

``codec`` turns them into Cap'n Proto and back. Messages between entries travel over the peer
address, messages between views over the view address, ``ViewUpdate`` and ``EntryReport`` over the
link between the two processes of one instance.
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
    """Order in which messages may use the control budget; lower goes first.

    ``SAFETY`` is never held back; ``HINT`` is left out first.
    """

    SAFETY = 0
    MEMBERSHIP = 1
    HANDOVER = 2
    HINT = 3


# Between entries.


class FlowRecord(Struct, frozen=True):
    """The upstream of one flow of a contested slot."""

    flow: FlowKey
    service: ServiceId
    upstream: UpstreamId


class PassedPacket(Struct, frozen=True):
    """A packet that an entry passes to the home of its slot; it is never passed again.

    :param version: highest version that the sender has.
    :param packet: the inner IP packet, unaltered.
    """

    version: Version
    packet: bytes


class FlowHints(Struct, frozen=True):
    """Decisions of a home, for the entry that passed the packets and for the successor."""

    records: tuple[FlowRecord, ...]


class SlotName(Struct, frozen=True, order=True):
    """A slot of a service at a stated table size.

    :param size: number of slots of the table that the index refers to.
    """

    service: ServiceId
    slot: SlotIndex
    size: int


class SlotQuestion(Struct, frozen=True):
    """A slot whose records are asked for.

    :param base: upstream that the asker takes for flows without a record, empty if there is none;
        records that name it are left out of the answer unless the answerer has another base.
    """

    slot: SlotName
    base: UpstreamId


class FlowQuery(Struct, frozen=True):
    """Asks a peer for what it keeps of contested slots.

    :param query: number that the answer repeats.
    """

    query: int
    questions: tuple[SlotQuestion, ...]


class SlotFloor(Struct, frozen=True):
    """The version as of which a slot was last released."""

    slot: SlotName
    version: Version


class FlowAnswer(Struct, frozen=True):
    """All records of a peer for the slots of a query, and the releases that it knows of."""

    query: int
    records: tuple[FlowRecord, ...]
    floors: tuple[SlotFloor, ...] = ()


class SlotRelease(Struct, frozen=True):
    """The home's word that slots have one candidate left as of a version.

    :param version: newest generation of the service that the home took into account.
    :param epoch: highest epoch of the slot's upstream that the home took into account.
    """

    slot: SlotName
    version: Version
    epoch: Epoch


class Handover(Struct, frozen=True):
    """What a home hands over to a successor, which acknowledges the number.

    :param releases: releases that the home has given, or gives once they are acknowledged.
    """

    number: int
    records: tuple[FlowRecord, ...]
    releases: tuple[SlotRelease, ...] = ()


class HandoverAck(Struct, frozen=True):
    """The successor has the content of a handover."""

    number: int


class SlotQuery(Struct, frozen=True):
    """Asks an entry whether contested slots still have flows on an older candidate.

    :param query: number that the report repeats.
    """

    query: int
    slots: tuple[SlotName, ...]


class SlotActivity(Struct, frozen=True):
    """Whether an entry holds live records on an older candidate of a contested slot.

    :param version: newest version of the service that the entry has.
    """

    slot: SlotName
    version: Version
    live: bool


class SlotReport(Struct, frozen=True):
    """Answer to a query, one activity for each slot of the query."""

    query: int
    activities: tuple[SlotActivity, ...]


class SlotReleases(Struct, frozen=True):
    """Releases, collected."""

    releases: tuple[SlotRelease, ...]


class ReleaseQuery(Struct, frozen=True):
    """Asks the home of slots to repeat the releases that it has given."""

    slots: tuple[SlotName, ...]


class GrantRequest(Struct, frozen=True):
    """Asks the owner of an upstream for openings.

    :param request: number that the grant repeats.
    """

    request: int
    upstream: UpstreamId
    openings: int


class Grant(Struct, frozen=True):
    """A lease of openings; it starts when the holder sent its request.

    :param openings: number granted; zero is a refusal.
    :param lifetime_s: lifetime of the lease in seconds.
    """

    request: int
    upstream: UpstreamId
    openings: int
    lifetime_s: float


class OpeningOutcomes(Struct, frozen=True):
    """Evidence for the owner of an upstream, counted since the last report.

    :param answered: openings that the upstream accepted.
    :param refused: openings that the upstream reset.
    :param lost: openings without an answer.
    """

    upstream: UpstreamId
    answered: int
    refused: int
    lost: int


class LeavingNotice(Struct, frozen=True):
    """The sender is about to stop; receivers stop using it as a home."""

    instance: InstanceId


class LeavingAck(Struct, frozen=True):
    """The sender has taken note that the receiver leaves."""

    instance: InstanceId


# Between views.


class MemberUpdate(Struct, frozen=True):
    """A piece of membership knowledge that is spread on other messages."""

    instance: InstanceId
    state: MemberState
    incarnation: Incarnation


class Gossip(Struct, frozen=True):
    """What each probe message carries besides its own content.

    :param version: highest version of the configuration that the sender has.
    """

    version: Version
    members: tuple[MemberUpdate, ...] = ()
    conditions: tuple[UpstreamCondition, ...] = ()


class Ping(Struct, frozen=True):
    """A membership probe."""

    number: int
    gossip: Gossip


class Ack(Struct, frozen=True):
    """Answer to a probe; ``subject`` is the instance that proved alive."""

    number: int
    subject: InstanceId
    gossip: Gossip


class PingRequest(Struct, frozen=True):
    """Asks a peer to probe ``subject`` on the sender's behalf."""

    number: int
    subject: InstanceId
    gossip: Gossip


class VersionFetch(Struct, frozen=True):
    """Asks a peer for the configuration and the retained generations.

    :param have: version that the sender has.
    """

    have: Version


class VersionBody(Struct, frozen=True):
    """The newest configuration of a peer with its retained generations."""

    configuration: Configuration
    generations: tuple[Generation, ...]
    instances: tuple[Instance, ...]
    conditions: tuple[UpstreamCondition, ...]


# Between the view and the entry of one instance.


class Member(Struct, frozen=True):
    """A peer as the view sees it."""

    instance: Instance
    state: MemberState


class ViewUpdate(Struct, frozen=True):
    """Everything that the entry knows of the world outside its packets.

    :param number: rises with each update of one view process.
    :param highest: highest version heard of from any peer; above the configuration's own version
        while this instance is behind.
    :param placed: version that new flows may be placed by.
    :param stale: true after a pause until a peer confirmed the view.
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
    """All slots of a service are clean as of a version; older generations may be dropped."""

    service: ServiceId
    version: Version


class EntryReport(Struct, frozen=True):
    """What the entry tells its view.

    :param outcomes: evidence of all entries about the upstreams that this instance owns.
    :param warmed: owned upstreams whose ramp reached their full capacity.
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
"""Messages on the link between view and entry of one instance."""

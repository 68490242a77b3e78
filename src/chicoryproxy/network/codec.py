"""Codec of the messages between the load balancer's processes, in packed Cap'n Proto.

Flow records are encoded by column: 8 bytes for the flow and a 2-byte index into the pairs of
service and upstream, each of which is listed once per message. Complete configurations are encoded
as MessagePack in one data field, because they are already validated, immutable and large.

The ``decode_*`` functions raise no exceptions; they return a ``DecodeProblem`` as a sentinel for
invalid input.
"""

from collections.abc import Callable
from enum import Enum, unique
from pathlib import Path
from typing import Any, TypeVar

import capnp
import msgspec

from chicoryproxy.ids import FlowKey, ServiceId, UpstreamId, Version
from chicoryproxy.protocol.messages import (
    Ack,
    EntryMessage,
    EntryReport,
    FlowAnswer,
    FlowHints,
    FlowQuery,
    FlowRecord,
    Grant,
    GrantRequest,
    Handover,
    HandoverAck,
    LeavingAck,
    LeavingNotice,
    LinkMessage,
    OpeningOutcomes,
    PassedPacket,
    Ping,
    PingRequest,
    ReleaseQuery,
    SlotFloor,
    SlotQuery,
    SlotRelease,
    SlotReleases,
    SlotReport,
    VersionBody,
    VersionFetch,
    ViewMessage,
    ViewUpdate,
)

MAX_MESSAGE_BYTES = 16 * 1024 * 1024
WORD_BYTES = 8
NESTING_LIMIT = 16

_load: Any = capnp.load
_SCHEMA: Any = _load(str(Path(__file__).with_name("peer.capnp")))

Message = EntryMessage | ViewMessage | LinkMessage
MessageT = TypeVar("MessageT")
_Writer = Callable[[Any, str, Any], None]
_Reader = Callable[[Any, Any], Any]


@unique
class DecodeProblem(Enum):
    """Why received data could not be decoded."""

    TOO_LARGE = "too_large"
    MALFORMED = "malformed"
    WRONG_CHANNEL = "wrong_channel"
    INVALID_FIELD = "invalid_field"


_ENTRY_KINDS: dict[str, type[Any]] = {
    "passedPacket": PassedPacket,
    "flowHints": FlowHints,
    "flowQuery": FlowQuery,
    "flowAnswer": FlowAnswer,
    "handover": Handover,
    "handoverAck": HandoverAck,
    "releaseQuery": ReleaseQuery,
    "slotQuery": SlotQuery,
    "slotReport": SlotReport,
    "slotReleases": SlotReleases,
    "grantRequest": GrantRequest,
    "grant": Grant,
    "openingOutcomes": OpeningOutcomes,
    "leavingNotice": LeavingNotice,
    "leavingAck": LeavingAck,
}
_VIEW_KINDS: dict[str, type[Any]] = {
    "ping": Ping,
    "ack": Ack,
    "pingRequest": PingRequest,
    "versionFetch": VersionFetch,
    "versionBody": VersionBody,
}
_LINK_KINDS: dict[str, type[Any]] = {"viewUpdate": ViewUpdate, "entryReport": EntryReport}
_KINDS = _ENTRY_KINDS | _VIEW_KINDS | _LINK_KINDS
_NAMES = {kind: name for name, kind in _KINDS.items()}
_MESSAGEPACK_MESSAGES = frozenset(("versionBody", "viewUpdate", "entryReport"))
_TO_WIRE = {"lifetime_s": "lifetimeS", "since_s": "sinceS"}
_FROM_WIRE = {wire: name for name, wire in _TO_WIRE.items()}


def encode(message: Message) -> bytes:
    """Encode a message as packed Cap'n Proto.

    :param message: the message, whose values are not validated.
    """
    name = _NAMES[type(message)]
    root = _SCHEMA.Message.new_message()
    write: _Writer = _WRITERS.get(name, _write_fields)
    write(root, name, message)
    return bytes(root.to_bytes_packed())


def decode_entry_message(data: bytes) -> EntryMessage | DecodeProblem:
    """Decode a message from another entry."""
    message: EntryMessage | DecodeProblem = _decode(data, _ENTRY_KINDS)
    return message


def decode_view_message(data: bytes) -> ViewMessage | DecodeProblem:
    """Decode a message from another view."""
    message: ViewMessage | DecodeProblem = _decode(data, _VIEW_KINDS)
    return message


def decode_link_message(data: bytes) -> LinkMessage | DecodeProblem:
    """Decode a message between the view and the entry of one instance."""
    message: LinkMessage | DecodeProblem = _decode(data, _LINK_KINDS)
    return message


def _decode(data: bytes, kinds: dict[str, type[Any]]) -> Any:
    if len(data) > MAX_MESSAGE_BYTES:
        return DecodeProblem.TOO_LARGE
    try:
        root = _SCHEMA.Message.from_bytes_packed(
            data,
            traversal_limit_in_words=MAX_MESSAGE_BYTES // WORD_BYTES,
            nesting_limit=NESTING_LIMIT,
        )
        name = str(root.which())
        if name not in kinds:
            return DecodeProblem.WRONG_CHANNEL
        read: _Reader = _READERS.get(name, _read_fields)
        return read(getattr(root, name), kinds[name])
    except capnp.KjException:
        return DecodeProblem.MALFORMED
    except (ValueError, IndexError, RuntimeError, msgspec.MsgspecError):
        # pycapnp raises RuntimeError for an enumerant that is not in the schema.
        return DecodeProblem.INVALID_FIELD


def _write_fields(root: Any, name: str, message: Message) -> None:
    values = msgspec.to_builtins(message, builtin_types=(bytes,))
    root.init(name).from_dict(_rename(values, _TO_WIRE))


def _read_fields(reader: Any, kind: type[MessageT]) -> MessageT:
    values = _rename(reader.to_dict(verbose=True), _FROM_WIRE)
    return msgspec.convert(values, kind)


def _rename(value: Any, names: dict[str, str]) -> Any:
    if isinstance(value, dict):
        return {names.get(key, key): _rename(item, names) for key, item in value.items()}
    if isinstance(value, list | tuple):
        return [_rename(item, names) for item in value]
    return value


def _write_messagepack(root: Any, name: str, message: Message) -> None:
    setattr(root, name, msgspec.msgpack.encode(message))


def _read_messagepack(reader: Any, kind: type[MessageT]) -> MessageT:
    return msgspec.msgpack.decode(reader, type=kind)


def _write_packet(root: Any, name: str, message: PassedPacket) -> None:
    body = root.init(name)
    body.version = message.version
    body.packet = message.packet


def _read_packet(reader: Any, _kind: type[PassedPacket]) -> PassedPacket:
    return PassedPacket(Version(reader.version), bytes(reader.packet))


def _write_hints(root: Any, name: str, message: FlowHints) -> None:
    _write_records(root.init(name), message.records)


def _read_hints(reader: Any, _kind: type[FlowHints]) -> FlowHints:
    return FlowHints(_read_records(reader))


def _write_answer(root: Any, name: str, message: FlowAnswer) -> None:
    body = root.init(name)
    body.query = message.query
    _write_records(body.init("records"), message.records)
    floors = body.init("floors", len(message.floors))
    for index, floor in enumerate(message.floors):
        floors[index].from_dict(msgspec.to_builtins(floor))


def _read_answer(reader: Any, _kind: type[FlowAnswer]) -> FlowAnswer:
    floors = msgspec.convert([floor.to_dict() for floor in reader.floors], tuple[SlotFloor, ...])
    return FlowAnswer(reader.query, _read_records(reader.records), floors)


def _write_handover(root: Any, name: str, message: Handover) -> None:
    body = root.init(name)
    body.number = message.number
    _write_records(body.init("records"), message.records)
    releases = body.init("releases", len(message.releases))
    for index, release in enumerate(message.releases):
        releases[index].from_dict(msgspec.to_builtins(release))


def _read_handover(reader: Any, _kind: type[Handover]) -> Handover:
    releases = msgspec.convert(
        [release.to_dict() for release in reader.releases], tuple[SlotRelease, ...]
    )
    return Handover(reader.number, _read_records(reader.records), releases)


def _write_records(table: Any, records: tuple[FlowRecord, ...]) -> None:
    indexes: dict[tuple[ServiceId, UpstreamId], int] = {}
    pairs = [
        indexes.setdefault((record.service, record.upstream), len(indexes)) for record in records
    ]
    table.services = [service for service, _ in indexes]
    table.upstreams = [upstream for _, upstream in indexes]
    table.flows = [record.flow for record in records]
    table.pairs = pairs


def _read_records(table: Any) -> tuple[FlowRecord, ...]:
    services = [ServiceId(name) for name in table.services]
    upstreams = [UpstreamId(name) for name in table.upstreams]
    flows = list(table.flows)
    pairs = list(table.pairs)
    if len(flows) != len(pairs) or len(services) != len(upstreams):
        raise ValueError("the columns of the record table differ in length")
    return tuple(
        FlowRecord(FlowKey(flow), services[pair], upstreams[pair])
        for flow, pair in zip(flows, pairs, strict=True)
    )


_WRITERS: dict[str, _Writer] = {
    "passedPacket": _write_packet,
    "flowHints": _write_hints,
    "flowAnswer": _write_answer,
    "handover": _write_handover,
    **dict.fromkeys(_MESSAGEPACK_MESSAGES, _write_messagepack),
}
_READERS: dict[str, _Reader] = {
    "passedPacket": _read_packet,
    "flowHints": _read_hints,
    "flowAnswer": _read_answer,
    "handover": _read_handover,
    **dict.fromkeys(_MESSAGEPACK_MESSAGES, _read_messagepack),
}

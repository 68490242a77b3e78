"""Messages between entries, and their encoding (MessagePack)."""

import zlib
from typing import Any

import msgspec
from msgspec import Struct

from chicoryproxy.forwarding.model import Change, Mark, Revision
from chicoryproxy.forwarding.routingpatch import RoutingPatch
from chicoryproxy.ids import Version

COMPRESS_BYTES = 1024
COMPRESSION_LEVEL = 1
MAX_MESSAGE_BYTES = 64 * 1024 * 1024
_ZLIB_START = b"\x78"
"""No message starts like this in MessagePack: it would be a positive number, not an array."""


class PeerAddress(Struct, frozen=True, array_like=True, order=True):
    """Where a peer is; it is known by nothing else.

    :param host: IPv4 address as an unsigned 32-bit number; the port is the same on all instances.
    :param domain: index of its failure domain in the sorted list of all of them.
    :param link_mbps: bandwidth of its link, in megabits a second.
    """

    host: int
    domain: int
    link_mbps: int = 0


class PeerStatus(Struct, frozen=True, array_like=True):
    """That a peer lives.

    :param age_ds: how long ago it was heard, directly or through others, in tenths of a second.
    """

    address: PeerAddress
    age_ds: int


class LoadReport(Struct, frozen=True, array_like=True):
    """Load of one upstream by one entry.

    :param flows: flows with packets lately.
    :param waiting: requests without an answer.
    """

    mark: Mark
    flows: int
    waiting: int


class Heartbeat(Struct, frozen=True, array_like=True, tag="heartbeat"):
    """What an entry says of itself several times a second.

    :param synced: it knows all changes of the store up to this revision.
    :param age_s: how long ago the store was last known to have nothing newer; negative if never.
    :param is_leaving: it stops soon.
    :param loads: its load at the upstreams.
    :param unreachable: upstreams that it can't reach.
    :param peers: some peers that live, so that a peer need not be heard by everyone directly.
    """

    sender: PeerAddress
    synced: Revision
    age_s: float
    is_leaving: bool
    loads: tuple[LoadReport, ...]
    unreachable: tuple[Mark, ...]
    peers: tuple[PeerStatus, ...]


class ChangesRequest(Struct, frozen=True, array_like=True, tag="request"):
    """Asks for the changes after a revision.

    :param version: configuration that the sender has in force; it takes patches of it.
    """

    since: Revision
    version: Version


class ChangesReply(Struct, frozen=True, array_like=True, tag="changes"):
    """Changes after the revision of the request.

    :param synced: with them, everything up to this revision is known.
    :param age_s: as in the heartbeat.
    :param patch: turns the version of the request into the newest one, if ``changes`` holds none.
    """

    changes: tuple[Change, ...]
    synced: Revision
    age_s: float
    patch: RoutingPatch | None


PeerMessage = Heartbeat | ChangesRequest | ChangesReply


_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(PeerMessage)


def encode_message(message: PeerMessage) -> bytes:
    """Return the bytes of a message, compressed where that pays."""
    data = _encoder.encode(message)
    return zlib.compress(data, COMPRESSION_LEVEL) if len(data) > COMPRESS_BYTES else data


def decode_message(data: bytes) -> PeerMessage | None:
    """Read a message; ``None`` if it is none."""
    try:
        if data[:1] == _ZLIB_START:
            data = zlib.decompressobj().decompress(data, MAX_MESSAGE_BYTES)
        message: PeerMessage = _decoder.decode(data)
    except (msgspec.MsgspecError, zlib.error):
        return None
    return message

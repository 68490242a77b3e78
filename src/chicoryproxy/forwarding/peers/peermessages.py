"""Messages between entries and their MessagePack encoding."""

import zlib
from typing import Any

import msgspec
from msgspec import Struct

from chicoryproxy.forwarding.model import NO_REVISION, Change, Mark, Revision
from chicoryproxy.forwarding.view.routingpatch import RoutingPatch
from chicoryproxy.ids import NO_VERSION, Version

COMPRESSION_THRESHOLD_BYTES = 1024
COMPRESSION_LEVEL = 1
MAX_MESSAGE_BYTES = 64 * 1024 * 1024
_ZLIB_FIRST_BYTE = b"\x78"
"""First byte of zlib data; no message starts with it, since in MessagePack it is an integer and not
an array."""


class PeerAddress(Struct, frozen=True, array_like=True, order=True):
    """Address of a peer, which also identifies it.

    :param host: IPv4 address as an unsigned 32-bit number; the port is the same on all instances.
    :param domain: index of its failure domain in the sorted list of all of them.
    :param link_mbps: bandwidth of its link, in megabits per second.
    """

    host: int
    domain: int
    link_mbps: int = 0


class PeerStatus(Struct, frozen=True, array_like=True):
    """Last known sign of life of a peer.

    :param age_ds: time since it was seen, directly or through others, in tenths of a second.
    """

    address: PeerAddress
    age_ds: int


class LoadReport(Struct, frozen=True, array_like=True):
    """Load of one entry at one upstream.

    :param flows: flows with recent packets.
    :param waiting: unanswered requests.
    """

    mark: Mark
    flows: int
    waiting: int


class RampReport(Struct, frozen=True, array_like=True):
    """Answers of one upstream that is ramping up, as counted by one entry since its ramp began.

    The counts only grow during a ramp, so that a lost heartbeat loses no evidence.

    :param on_time: responses that were not slow (``ResponseTimes.is_slow``).
    :param late: slow responses, and requests and openings without an answer in time.
    """

    mark: Mark
    on_time: int
    late: int


class Heartbeat(Struct, frozen=True, array_like=True, tag="heartbeat"):
    """State of an entry, sent several times per second.

    :param synced: the sender knows all changes of the store up to this revision.
    :param age_s: time since the sender was last known to be up to date; negative if never.
    :param is_leaving: the sender is about to stop.
    :param loads: load of the sender at the upstreams.
    :param unreachable: upstreams that the sender or one of its peers can't reach.
    :param peers: some live peers, so that not every entry needs heartbeats from each of them.
    :param is_isolated: the sender has found that its failure domain is partitioned and can't serve
        its callers. Older entries leave it out.
    :param ramps: answers of upstreams that are ramping up. Older entries leave it out.
    :param version: newest configuration that the sender can pass on. Older entries leave it out.
    """

    sender: PeerAddress
    synced: Revision
    age_s: float
    is_leaving: bool
    loads: tuple[LoadReport, ...]
    unreachable: tuple[Mark, ...]
    peers: tuple[PeerStatus, ...]
    is_isolated: bool = False
    ramps: tuple[RampReport, ...] = ()
    version: Version = NO_VERSION


class ChangesRequest(Struct, frozen=True, array_like=True, tag="request"):
    """Request for the changes after a revision.

    :param version: current configuration of the sender, to which patches can be applied.
    """

    since: Revision
    version: Version


class ChangesReply(Struct, frozen=True, array_like=True, tag="changes"):
    """Changes after the revision of the request.

    :param synced: all changes up to this revision are included or were known before.
    :param age_s: as in ``Heartbeat``.
    :param patch: patch from the requested version to the newest one; ``None`` if ``changes`` holds
        the whole version or there is no newer one.
    :param since: all changes after this revision are included. If it is newer than the requested
        one, ``changes`` holds all keys, and those that are absent have been removed.
    """

    changes: tuple[Change, ...]
    synced: Revision
    age_s: float
    patch: RoutingPatch | None
    since: Revision = NO_REVISION


PeerMessage = Heartbeat | ChangesRequest | ChangesReply


_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(PeerMessage)


def encode_message(message: PeerMessage) -> bytes:
    """Encode a message, compressed if it is larger than ``COMPRESSION_THRESHOLD_BYTES``."""
    data = _encoder.encode(message)
    return (
        zlib.compress(data, COMPRESSION_LEVEL) if len(data) > COMPRESSION_THRESHOLD_BYTES else data
    )


def decode_message(data: bytes) -> PeerMessage | None:
    """Decode a message; return ``None`` if it is invalid."""
    try:
        if data[:1] == _ZLIB_FIRST_BYTE:
            data = zlib.decompressobj().decompress(data, MAX_MESSAGE_BYTES)
        message: PeerMessage = _decoder.decode(data)
    except (msgspec.MsgspecError, zlib.error):
        return None
    return message

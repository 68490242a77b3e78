"""Authentication of messages between instances, with a keyed hash and a replay window.

Sealing authenticates a message; it does not encrypt it. A sealed message consists of a header
(format version, key id, session, counter, length of the sender's id), the sender's id, the body and
an authentication tag. The tag is a keyed BLAKE2b hash of these, the receiver's id and the channel,
so that other receivers reject the message. The replay window is the sliding window of IPsec
(RFC 4303, section 3.4.3).

The session number is passed in and must increase with each start of a process; the start time in
milliseconds satisfies this. A receiver loses its windows when it restarts, so messages captured
before can be replayed to it once. The counters and epochs inside the messages must make such a
replay harmless.
"""

import hashlib
import hmac
import struct
from abc import ABC, abstractmethod
from collections import Counter, OrderedDict
from collections.abc import Mapping, Sequence
from enum import Enum, unique

from msgspec import Struct

from chicoryproxy.ids import InstanceId

TAG_BYTES = 16
KEY_ID_BYTES = 2
MIN_KEY_BYTES = 16
MAX_KEY_BYTES = 64
WINDOW_MESSAGES = 1024
MAX_SENDERS = 16_384
FORMAT_VERSION = 1

_HEADER_STRUCT = struct.Struct("!B2sQIB")
_MAX_COUNTER = (1 << 32) - 1


@unique
class Channel(Enum):
    """Purpose of a sealed message; a message of one channel is rejected on the other."""

    PEER = b"peer"
    VIEW = b"view"


@unique
class SealProblem(Enum):
    """Why a received message was rejected."""

    TRUNCATED = "truncated"
    FOREIGN = "foreign"
    UNKNOWN_KEY = "unknown_key"
    WRONG_TAG = "wrong_tag"
    REPLAYED = "replayed"
    UNLISTED_ADDRESS = "unlisted_address"


class OpenedMessage(Struct, frozen=True):
    """An accepted message: its body and the instance that sent it."""

    sender: InstanceId
    body: bytes


class _Header(Struct, frozen=True):
    key_id: bytes
    session: int
    counter: int
    sender: InstanceId
    body_offset: int


class Seal(ABC):
    """Seals messages to peers and verifies messages from peers.

    :param sender: id of this instance.
    :param session: number that increases with each start of this process.
    :param channel: purpose of the messages.

    :ivar problems: number of rejected messages per reason.
    """

    def __init__(self, sender: InstanceId, session: int, channel: Channel) -> None:
        self.problems: Counter[SealProblem] = Counter()
        self._sender = sender
        self._sender_bytes = sender.encode()
        self._channel = channel
        self._session = session
        self._counter = 0

    @abstractmethod
    def seal(self, body: bytes, receiver: InstanceId) -> bytes:
        """Seal a body for one receiver."""

    @abstractmethod
    def _check(self, data: bytes, header: _Header, host: str) -> SealProblem | None:
        """Check that the message comes from the sender named in its header."""

    @abstractmethod
    def _get_body(self, data: bytes, header: _Header) -> bytes:
        """Return the body of a verified message."""

    @abstractmethod
    def set_peers(self, hosts: Mapping[InstanceId, str]) -> None:
        """Set the IP addresses of the listed peers."""

    def open(self, data: bytes, host: str) -> OpenedMessage | SealProblem:
        """Verify a received message.

        :param data: the message as received.
        :param host: IP address of its source.
        :returns: the message, or the reason to reject it, which is counted.
        """
        result = self._open(data, host)
        if isinstance(result, SealProblem):
            self.problems[result] += 1
        return result

    def _open(self, data: bytes, host: str) -> OpenedMessage | SealProblem:
        header = _parse_header(data)
        if isinstance(header, SealProblem):
            return header
        problem = self._check(data, header, host)
        if problem is not None:
            return problem
        return OpenedMessage(header.sender, self._get_body(data, header))

    def _write_header(self, key_id: bytes) -> bytes:
        self._advance_counter()
        header = _HEADER_STRUCT.pack(
            FORMAT_VERSION, key_id, self._session, self._counter, len(self._sender_bytes)
        )
        return header + self._sender_bytes

    def _advance_counter(self) -> None:
        if self._counter == _MAX_COUNTER:
            self._session += 1
            self._counter = 0
        self._counter += 1


class KeyedSeal(Seal):
    """Authenticates messages by a secret key that all instances share.

    :param keys: the key to seal with, then another key to accept during a key rotation.
    """

    def __init__(
        self, sender: InstanceId, session: int, channel: Channel, keys: Sequence[bytes]
    ) -> None:
        super().__init__(sender, session, channel)
        self._keys = {_derive_key_id(key): key for key in reversed(keys)}
        self._key = keys[0]
        self._key_id = _derive_key_id(keys[0])
        self._windows = _ReplayWindows()

    def seal(self, body: bytes, receiver: InstanceId) -> bytes:
        """Seal a body for one receiver."""
        data = self._write_header(self._key_id) + body
        return data + self._compute_tag(self._key, data, receiver)

    def set_peers(self, hosts: Mapping[InstanceId, str]) -> None:
        """Do nothing, since the key authenticates the sender whatever its address."""

    def _check(self, data: bytes, header: _Header, host: str) -> SealProblem | None:
        if len(data) < header.body_offset + TAG_BYTES:
            return SealProblem.TRUNCATED
        key = self._keys.get(header.key_id)
        if key is None:
            return SealProblem.UNKNOWN_KEY
        tag = self._compute_tag(key, data[:-TAG_BYTES], self._sender)
        if not hmac.compare_digest(tag, data[-TAG_BYTES:]):
            return SealProblem.WRONG_TAG
        if not self._windows.accept(header):
            return SealProblem.REPLAYED
        return None

    def _get_body(self, data: bytes, header: _Header) -> bytes:
        return data[header.body_offset : -TAG_BYTES]

    def _compute_tag(self, key: bytes, data: bytes, receiver: InstanceId) -> bytes:
        tag = hashlib.blake2b(key=key, digest_size=TAG_BYTES, person=self._channel.value)
        name = receiver.encode()
        tag.update(bytes((len(name) & 0xFF,)))
        tag.update(name)
        tag.update(data)
        return tag.digest()


class AddressSeal(Seal):
    """Authenticates messages without a key, by the source address listed for the sender."""

    def __init__(self, sender: InstanceId, session: int, channel: Channel) -> None:
        super().__init__(sender, session, channel)
        self._hosts: Mapping[InstanceId, str] = {}

    def seal(self, body: bytes, receiver: InstanceId) -> bytes:
        """Prepend the header to a body."""
        return self._write_header(bytes(KEY_ID_BYTES)) + body

    def set_peers(self, hosts: Mapping[InstanceId, str]) -> None:
        """Set the IP addresses of the listed peers."""
        self._hosts = dict(hosts)

    def _check(self, data: bytes, header: _Header, host: str) -> SealProblem | None:
        if self._hosts.get(header.sender) != host:
            return SealProblem.UNLISTED_ADDRESS
        return None

    def _get_body(self, data: bytes, header: _Header) -> bytes:
        return data[header.body_offset :]


class _ReplayWindow:
    """The newest session of a sender and a bitmap of the recent counters received in it."""

    __slots__ = ("session", "highest", "seen")

    def __init__(self, session: int) -> None:
        self.session = session
        self.highest = 0
        self.seen = 0

    def accept(self, counter: int) -> bool:
        ahead = counter - self.highest
        if ahead > 0:
            self.seen = 1 if ahead >= WINDOW_MESSAGES else self._shift(ahead)
            self.highest = counter
            return True
        bit = 1 << -ahead
        if -ahead >= WINDOW_MESSAGES or self.seen & bit:
            return False
        self.seen |= bit
        return True

    def _shift(self, ahead: int) -> int:
        return (self.seen << ahead | 1) & ((1 << WINDOW_MESSAGES) - 1)


class _ReplayWindows:
    """Replay windows by sender; the least recently active sender is evicted first."""

    def __init__(self) -> None:
        self._by_sender: OrderedDict[InstanceId, _ReplayWindow] = OrderedDict()

    def accept(self, header: _Header) -> bool:
        window = self._by_sender.get(header.sender)
        if window is None or header.session > window.session:
            window = self._add(header)
        elif header.session < window.session:
            return False
        self._by_sender.move_to_end(header.sender)
        return window.accept(header.counter)

    def _add(self, header: _Header) -> _ReplayWindow:
        window = _ReplayWindow(header.session)
        self._by_sender[header.sender] = window
        if len(self._by_sender) > MAX_SENDERS:
            self._by_sender.popitem(last=False)
        return window


def create_seal(
    sender: InstanceId, session: int, channel: Channel, keys: Sequence[bytes] = ()
) -> Seal:
    """Create the seal for one channel of this process.

    :param keys: the key to seal with, then the previous key; if empty, messages are authenticated
        by their source address.
    """
    if keys:
        return KeyedSeal(sender, session, channel, keys)
    return AddressSeal(sender, session, channel)


def _derive_key_id(key: bytes) -> bytes:
    return hashlib.blake2b(key, digest_size=KEY_ID_BYTES, person=b"key-id").digest()


def _parse_header(data: bytes) -> _Header | SealProblem:
    if len(data) < _HEADER_STRUCT.size:
        return SealProblem.TRUNCATED
    form, key_id, session, counter, size = _HEADER_STRUCT.unpack_from(data)
    if form != FORMAT_VERSION:
        return SealProblem.FOREIGN
    body_offset = _HEADER_STRUCT.size + size
    if len(data) < body_offset:
        return SealProblem.TRUNCATED
    try:
        sender = InstanceId(data[_HEADER_STRUCT.size : body_offset].decode())
    except UnicodeDecodeError:
        return SealProblem.FOREIGN
    return _Header(key_id, session, counter, sender, body_offset)

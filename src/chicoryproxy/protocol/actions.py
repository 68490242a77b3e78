"""Actions that the decision cores return to their drivers.

A driver performs the actions immediately and in order. ``Forward`` and ``Drop`` contain no packet
but refer to the current one, the packet that the driver has just passed to the core, so that the
fast path can reuse one preallocated object per upstream or reason.
"""

from msgspec import Struct

from chicoryproxy.ids import FlowKey, InstanceId, ServiceId, SlotIndex, UpstreamId, Version
from chicoryproxy.model import Endpoint
from chicoryproxy.protocol.messages import EntryMessage, Priority, ViewMessage, ViewUpdate
from chicoryproxy.states import DropReason, RefusalReason, RouteReason


class Forward(Struct, frozen=True):
    """Send the current packet to an upstream."""

    upstream: UpstreamId
    address: Endpoint


class ForwardHeld(Struct, frozen=True):
    """Send a packet that the core has held to an upstream."""

    upstream: UpstreamId
    address: Endpoint
    packet: bytes


class Return(Struct, frozen=True):
    """Send the current packet to the caller."""


class ReturnPacket(Struct, frozen=True):
    """Send a packet that the core generated, such as a reset, to a caller."""

    packet: bytes


class Drop(Struct, frozen=True):
    """Drop the current packet."""

    reason: DropReason


class SendToPeer(Struct, frozen=True):
    """Send a message to the entry of a peer."""

    instance: InstanceId
    message: EntryMessage
    priority: Priority


class SendToView(Struct, frozen=True):
    """Send a message to the view of a peer."""

    instance: InstanceId
    message: ViewMessage
    priority: Priority


class LogRoute(Struct, frozen=True):
    """Log a routing decision."""

    reason: RouteReason | DropReason | RefusalReason
    service: ServiceId | None
    flow: FlowKey | None
    slot: SlotIndex | None
    version: Version
    target: UpstreamId | InstanceId | None


PacketAction = Forward | ForwardHeld | Return | ReturnPacket | Drop | SendToPeer | LogRoute
"""Actions of the packet core."""


class WatchPlatform(Struct, frozen=True):
    """Read the configuration and the instance list from the platform and watch both for changes.

    :param after: the watch reports only versions above this one.
    """

    after: Version


class StopWatching(Struct, frozen=True):
    """Stop watching the platform because other instances of the failure domain do."""


class ReadHealth(Struct, frozen=True):
    """Read the health endpoint of an upstream once."""

    upstream: UpstreamId
    url: str


class UpdateEntry(Struct, frozen=True):
    """Send a new view to the entry of this instance."""

    update: ViewUpdate


class LogControl(Struct, frozen=True):
    """Log a decision of the control core.

    :param part: log prefix of the component that decided, such as ``member`` or ``version``.
    """

    part: str
    text: str
    subject: str


ControlAction = SendToView | WatchPlatform | StopWatching | ReadHealth | UpdateEntry | LogControl
"""Actions of the control core."""

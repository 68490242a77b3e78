"""What the decision core asks its driver to do.

A driver carries out each action at once and in order. ``Forward`` and ``Drop`` hold no packet:
they speak of the packet that was just handed in, so that the fast path can use one prepared
object for each upstream and each reason.
"""

from msgspec import Struct

from chicoryproxy.ids import FlowKey, InstanceId, ServiceId, SlotIndex, UpstreamId, Version
from chicoryproxy.model import Endpoint
from chicoryproxy.protocol.messages import EntryMessage, Priority, ViewMessage, ViewUpdate
from chicoryproxy.states import DropReason, RefusalReason, RouteReason


class Forward(Struct, frozen=True):
    """Send the packet at hand to an upstream."""

    upstream: UpstreamId
    address: Endpoint


class ForwardHeld(Struct, frozen=True):
    """Send a packet that had waited to an upstream."""

    upstream: UpstreamId
    address: Endpoint
    packet: bytes


class Return(Struct, frozen=True):
    """Send the packet at hand to its caller."""


class ReturnPacket(Struct, frozen=True):
    """Send a packet that the core built, such as a reset, to a caller."""

    packet: bytes


class Drop(Struct, frozen=True):
    """Drop the packet at hand."""

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
    """One routing decision, for the log."""

    reason: RouteReason | DropReason | RefusalReason
    service: ServiceId | None
    flow: FlowKey | None
    slot: SlotIndex | None
    version: Version
    target: UpstreamId | InstanceId | None


PacketAction = Forward | ForwardHeld | Return | ReturnPacket | Drop | SendToPeer | LogRoute
"""What the packet core may ask for."""


class WatchPlatform(Struct, frozen=True):
    """Read the configuration and the instance list from the platform and watch both.

    :param after: version above which the watch reports.
    """

    after: Version


class StopWatching(Struct, frozen=True):
    """End the watch: other readers of the failure domain are in place."""


class ReadHealth(Struct, frozen=True):
    """Read the health endpoint of an upstream once."""

    upstream: UpstreamId
    url: str


class UpdateEntry(Struct, frozen=True):
    """Hand the entry of this instance a new view."""

    update: ViewUpdate


class LogControl(Struct, frozen=True):
    """One decision of the control core, for the log.

    :param part: fixed prefix of the part that decided, such as ``member`` or ``version``.
    """

    part: str
    text: str
    subject: str


ControlAction = SendToView | WatchPlatform | StopWatching | ReadHealth | UpdateEntry | LogControl
"""What the control core may ask for."""

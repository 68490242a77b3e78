"""Identifiers and scalar types that every module shares."""

from typing import NewType

InstanceId = NewType("InstanceId", str)
"""Name of one entry instance; unique in the fleet, never used again after a replacement."""

DomainId = NewType("DomainId", str)
"""Name of a failure domain."""

RegionId = NewType("RegionId", str)
"""Name of a region; the fabric sprays the packets of a flow over the instances of one region."""

ServiceId = NewType("ServiceId", str)
"""Name of a service."""

UpstreamId = NewType("UpstreamId", str)
"""Name of an upstream; unique in the fleet."""

Version = NewType("Version", int)
"""Version of the configuration; only rises."""

FlowKey = NewType("FlowKey", int)
"""Unsigned 64-bit hash of protocol, both addresses and both ports, in the caller's direction."""

SlotIndex = NewType("SlotIndex", int)
"""Index of a slot in the placement table of a service."""

Incarnation = NewType("Incarnation", int)
"""Counter that an instance raises to refute a suspicion about itself."""

Epoch = NewType("Epoch", int)
"""Counter that an upstream's owner raises with each change of the upstream's state."""

NO_VERSION = Version(0)
"""The version of an instance that has no configuration yet."""

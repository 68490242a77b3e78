"""Identifiers and scalar types that all modules share."""

from typing import NewType

InstanceId = NewType("InstanceId", str)
"""Name of an entry instance; unique in the fleet and not reused by a replacement."""

DomainId = NewType("DomainId", str)
"""Name of a failure domain."""

RegionId = NewType("RegionId", str)
"""Name of a region; the network fabric spreads the packets of a flow over all its instances."""

ServiceId = NewType("ServiceId", str)
"""Name of a service."""

UpstreamId = NewType("UpstreamId", str)
"""Name of an upstream; unique in the fleet."""

Version = NewType("Version", int)
"""Version of the configuration; increases monotonically."""

FlowKey = NewType("FlowKey", int)
"""Unsigned 64-bit hash of protocol, addresses and ports, ordered from caller to service."""

SlotIndex = NewType("SlotIndex", int)
"""Index of a slot in the placement table of a service."""

Incarnation = NewType("Incarnation", int)
"""Counter that an instance increments to refute a suspicion about itself, as in SWIM."""

Epoch = NewType("Epoch", int)
"""Counter that the owner of an upstream increments with each change of the upstream's state."""

NO_VERSION = Version(0)
"""Version of an instance that has not received a configuration."""

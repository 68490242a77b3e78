"""Simulated instance."""

from chicoryproxy.control.core import ControlCore, create_control_core
from chicoryproxy.model import Instance
from chicoryproxy.routing.router import PacketCore, create_packet_core


class FakeNode:
    """One instance: its packet core, its control core and the state of their driver.

    :ivar is_dead: whether it neither receives nor sends anything.
    :ivar paused_until: time until which everything that arrives is deferred.
    :ivar last_reading: configuration and instance list of the last successful platform read.
    """

    def __init__(self, instance: Instance, seed: int) -> None:
        self.instance = instance
        self.core: PacketCore = create_packet_core(instance.id, instance.domain, instance.region)
        self.control: ControlCore = create_control_core(instance, seed)
        self.is_dead = False
        self.is_leaving = False
        self.paused_until = 0.0
        self.is_watching = False
        self.last_reading: tuple[object, object] | None = None
        self.forwarded = 0
        self.passed = 0

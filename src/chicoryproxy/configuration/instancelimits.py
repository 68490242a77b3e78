"""Limits of one instance: those of the fleet, unless the configuration overrides them."""

from msgspec import structs

from chicoryproxy.ids import InstanceId
from chicoryproxy.model import Configuration, FleetLimits


def find_limits(configuration: Configuration, instance: InstanceId) -> FleetLimits:
    """Return the limits that apply to an instance."""
    for limits in configuration.instances:
        if limits.instance == instance:
            return structs.replace(
                configuration.fleet,
                control_bytes_per_s=limits.control_bytes_per_s,
                flow_table_size=limits.flow_table_size,
            )
    return configuration.fleet

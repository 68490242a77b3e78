"""The list of specifications to check."""

from functools import cache

from spec import domains, grants, packets, refusals, routing, versions
from spec.specification import Specification


@cache
def list_specifications() -> tuple[Specification, ...]:
    """Return all specifications."""
    return (
        versions.create_specification(),
        routing.create_specification(),
        routing.create_second_generation_specification(),
        grants.create_specification(),
        domains.create_specification(),
        refusals.create_specification(),
        packets.create_specification(),
    )

"""Distribution of the openings of a route over its services, by weight."""

import xxhash

from chicoryproxy.forwarding.model import FlowId, Route
from chicoryproxy.ids import ServiceId


def order_services(route: Route, flow: FlowId) -> list[ServiceId]:
    """Choose a service by weight and flow hash; the others follow as fallbacks."""
    targets = [target for target in route.targets if target.weight > 0] or list(route.targets)
    if len(targets) == 1:
        return [targets[0].service]
    total = sum(target.weight for target in targets)
    point = xxhash.xxh3_64_intdigest(flow) * 2.0**-64 * total
    for index, target in enumerate(targets):
        point -= target.weight
        if point < 0 or index == len(targets) - 1:
            rest = [item.service for item in targets if item is not target]
            return [target.service, *rest]
    return []

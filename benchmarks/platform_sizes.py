"""Memory and processor time of an entry's view on the platform, up to the target fleet's size.

Run with ``python -m benchmarks.platform_sizes``.
"""

import resource
import time

from msgspec import structs

from chicoryproxy.forwarding.model import (
    NO_REVISION,
    Bounds,
    Change,
    Revision,
    Route,
    RouteKey,
    RoutingPublished,
    RoutingVersion,
    ServiceLimits,
    UpstreamEntry,
    UpstreamListed,
    WeightedService,
)
from chicoryproxy.forwarding.peers.peermessages import (
    ChangesReply,
    ChangesRequest,
    decode_message,
    encode_message,
)
from chicoryproxy.forwarding.view.catchup import CatchUp
from chicoryproxy.forwarding.view.directory import Directory
from chicoryproxy.forwarding.view.replica import ROUTING_KEY, Replica, get_upstream_key
from chicoryproxy.ids import NO_VERSION, DomainId, ServiceId, UpstreamId, Version
from chicoryproxy.model import Endpoint

FLEET_SIZES = ((750, 400), (6_000, 3_250), (24_000, 13_000))
UPSTREAMS_PER_SERVICE = 20
DOMAIN_COUNT = 9


def create_routing(routes: int, services: int = 1_200) -> RoutingVersion:
    """Create a routing version whose services all have the same limits."""
    return RoutingVersion(
        Version(1),
        tuple(
            Route(
                f"r-{number:07d}",
                RouteKey(0xC612_0000 + number, 443),
                (WeightedService(ServiceId(f"service-{number % services}"), 1.0),),
            )
            for number in range(routes)
        ),
        tuple(
            ServiceLimits(ServiceId(f"service-{n}"), "/health", 2000, 2.0, 4.0)
            for n in range(services)
        ),
        15.0,
    )


def create_changes(upstreams: int, routes: int) -> list[Change]:
    """Create the changes that list all upstreams of a fleet and publish its routing."""
    services = max(1, upstreams // UPSTREAMS_PER_SERVICE)
    changes = []
    for number in range(upstreams):
        entry = UpstreamEntry(
            UpstreamId(f"i-{number:010x}"),
            number,
            ServiceId(f"service-{number % services}"),
            Endpoint(f"10.{number >> 14}.{number >> 7 & 127}.{number & 127}", 8080),
            DomainId(f"domain-{number % DOMAIN_COUNT}"),
            2,
            False,
            0.0,
            1_764_800_000_000 + number,
        )
        key = get_upstream_key(entry.id)
        changes.append(Change(key, Revision(number + 2), UpstreamListed(entry)))
    routing = create_routing(routes, services)
    changes.append(Change(ROUTING_KEY, Revision(1), RoutingPublished(routing)))
    return changes


def read_peak_rss_mib() -> float:
    """Return the peak resident memory of this process in MiB."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024


def measure(upstreams: int, routes: int) -> str:
    """Measure decoding and applying a whole view and return a table row."""
    body = encode_message(
        ChangesReply(tuple(create_changes(upstreams, routes)), Revision(upstreams + 2), 0.0, None)
    )
    before = read_peak_rss_mib()
    started = time.process_time()
    reply = decode_message(body)
    assert isinstance(reply, ChangesReply)
    directory, replica = Directory(Bounds()), Replica()
    for change in reply.changes:
        replica.merge(change)
        directory.apply(change, 1.0)
    apply_s = time.process_time() - started
    started = time.process_time()
    directory.expire(1.0)
    expire_s = time.process_time() - started
    growth_mib = read_peak_rss_mib() - before
    return (
        f"| {upstreams} | {routes} | {len(body) / 1e6:.2f} | {apply_s * 1000:.0f} "
        f"| {expire_s * 1000:.2f} | {growth_mib:.1f} |"
    )


def measure_patch(routes: int) -> str:
    """Return a table row with the bytes of a changed route, as a whole version and as a patch."""
    base = create_routing(routes)
    first = structs.replace(base.routes[0], targets=(WeightedService(ServiceId("other"), 1.0),))
    changed = structs.replace(base, version=Version(2), routes=(first, *base.routes[1:]))
    directory, replica = Directory(Bounds()), Replica()
    for revision, routing in enumerate((base, changed), 1):
        change = Change(ROUTING_KEY, Revision(revision), RoutingPublished(routing))
        replica.merge(change)
        directory.apply(change, 1.0)
    replica.advance_synced(Revision(2), NO_REVISION)
    catch_up = CatchUp(replica, directory)
    sizes = [
        len(encode_message(catch_up.create_reply(ChangesRequest(Revision(1), version), 0.0)))
        for version in (NO_VERSION, base.version)
    ]
    return f"| {routes} | {sizes[0]} | {sizes[1]} |"


def main() -> None:
    """Measure all sizes and print the tables."""
    print("| upstreams | routes | whole view, MB on the wire | taken in, ms | tick, ms | + MB |")
    print("|---:|---:|---:|---:|---:|---:|")
    for upstreams, routes in FLEET_SIZES:
        print(measure(upstreams, routes))
    print()
    print("| routes | whole version, B on the wire | one route changed, B |")
    print("|---:|---:|---:|")
    for _, routes in FLEET_SIZES:
        print(measure_patch(routes))


if __name__ == "__main__":
    main()

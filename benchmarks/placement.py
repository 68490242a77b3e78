"""Compares placement policies: ``PYTHONPATH=src python -m benchmarks.placement``.

For each number of upstreams, prints the load of the fullest upstream divided by the mean, the slots
that move when an upstream is added or removed as a multiple of the minimum, and the build time.
Then prints the memory and build time of all tables of a large fleet.
"""

import time
import tracemalloc
from bisect import bisect_right
from collections import Counter
from collections.abc import Sequence

import xxhash
from msgspec import Struct

from chicoryproxy.ids import DomainId, ServiceId, UpstreamId, Version
from chicoryproxy.model import Endpoint, Generation, Upstream
from chicoryproxy.routing.placement import (
    PlacementPolicy,
    PlacementTable,
    choose_size,
    create_bounded_rendezvous,
    create_modulo,
    create_table,
    create_weighted_rendezvous,
)

UPSTREAM_COUNTS = (2, 3, 7, 8, 16, 17, 50, 64, 65, 100, 200)
NAME_SET_COUNT = 5
RING_POINTS = 100
FLEET_SERVICE_COUNT = 13_000
FLEET_UPSTREAM_COUNT = 24_000


class _Ring(PlacementPolicy):
    """Consistent hashing on a ring with ``RING_POINTS`` points for each member (Karger, 1997)."""

    def _assign(self, members: Sequence[Upstream], size: int) -> Sequence[int]:
        points = sorted(
            (xxhash.xxh3_64_intdigest(f"{member.id}/{point}".encode()), index)
            for index, member in enumerate(members)
            for point in range(RING_POINTS * member.weight)
        )
        positions = [place for place, _ in points]
        hashes = (xxhash.xxh3_64_intdigest(f"slot/{slot}".encode()) for slot in range(size))
        return [points[bisect_right(positions, at) % len(points)][1] for at in hashes]


class _Maglev(PlacementPolicy):
    """Members claim the next free slot of their permutation in turn (Eisenbud and others, 2016)."""

    def _assign(self, members: Sequence[Upstream], size: int) -> Sequence[int]:
        probe_sequences = [_probe_sequence(member.id, size) for member in members]
        assigned = [-1] * size
        unassigned = size
        while unassigned:
            for index, probe_sequence in enumerate(probe_sequences):
                slot = next(slot for slot in probe_sequence if assigned[slot] < 0)
                assigned[slot] = index
                unassigned -= 1
                if not unassigned:
                    break
        return assigned


def _probe_sequence(name: str, size: int):
    start = xxhash.xxh3_64_intdigest(f"{name}/start".encode())
    step = xxhash.xxh3_64_intdigest(f"{name}/step".encode()) | 1
    return ((start + number * step) % size for number in range(size))


POLICIES = {
    "modulo": create_modulo,
    "ring": _Ring,
    "maglev": _Maglev,
    "rendezvous": create_weighted_rendezvous,
    "bounded, slack 0.05": lambda: create_bounded_rendezvous(0.05),
    "bounded, slack 0": create_bounded_rendezvous,
}


class PolicyRow(Struct):
    """Results of a policy for a number of upstreams, as means over ``NAME_SET_COUNT`` sets.

    :ivar imbalance: load of the fullest upstream divided by the mean.
    :ivar added: slots moved by adding an upstream, as a multiple of the minimum.
    :ivar removed: slots moved by removing an upstream, as a multiple of the minimum.
    :ivar build_s: processor time to build the table, in seconds.
    """

    imbalance: float = 0.0
    added: float = 0.0
    removed: float = 0.0
    build_s: float = 0.0


def create_generation(service: str, count: int, weights: Sequence[int] = (1,)) -> Generation:
    """Create a generation whose upstream names depend on the service."""
    members = tuple(
        Upstream(
            UpstreamId(f"{service}-{index}"),
            DomainId("d"),
            Endpoint("127.0.0.1", 1),
            weights[index % len(weights)],
        )
        for index in range(count)
    )
    return Generation(ServiceId(service), Version(1), members)


def measure_imbalance(table: PlacementTable) -> float:
    """Return the highest number of slots per weight at an upstream, divided by the mean."""
    counts = Counter(table.upstream_at(slot).id for slot in range(table.size))
    total = sum(upstream.weight for upstream in table.upstreams)
    return max(
        counts[upstream.id] * total / (table.size * upstream.weight) for upstream in table.upstreams
    )


def measure_moved_share(old: PlacementTable, new: PlacementTable) -> float:
    """Return the share of flows whose upstream differs between two tables."""
    size = max(old.size, new.size)
    moved = sum(
        old.upstream_at(slot & (old.size - 1)).id != new.upstream_at(slot & (new.size - 1)).id
        for slot in range(size)
    )
    return moved / size


def measure_policy(policy: PlacementPolicy, count: int, weights: Sequence[int]) -> PolicyRow:
    """Measure a policy; moved slots are given as a multiple of the minimum."""
    row = PolicyRow()
    for seed in range(NAME_SET_COUNT):
        generation = create_generation(f"s{seed}", count, weights)
        more = create_generation(f"s{seed}", count + 1, weights)
        fewer = Generation(generation.service, Version(2), generation.members[1:])
        started = time.process_time()
        table = policy.build(generation)
        row.build_s += (time.process_time() - started) / NAME_SET_COUNT
        row.imbalance += measure_imbalance(table) / NAME_SET_COUNT
        added = more.members[-1].weight / sum(member.weight for member in more.members)
        removed = generation.members[0].weight / sum(m.weight for m in generation.members)
        row.added += measure_moved_share(table, policy.build(more)) / added / NAME_SET_COUNT
        row.removed += measure_moved_share(table, policy.build(fewer)) / removed / NAME_SET_COUNT
    return row


def print_policies(counts: Sequence[int], weights: Sequence[int]) -> None:
    """Print a line for each policy and number of upstreams."""
    print(f"weights {weights}; moved: multiple of the least possible")
    print("policy                count  slots  max/mean  moved+  moved-  build ms")
    for name, create in POLICIES.items():
        for count in counts:
            row = measure_policy(create(), count, weights)
            print(
                f"{name:20} {count:6} {choose_size(count):6} {row.imbalance:9.3f}"
                f" {row.added:7.2f} {row.removed:7.2f} {row.build_s * 1000:9.2f}"
            )


def print_fleet() -> None:
    """Print the memory and build time of all tables of a large fleet."""
    extra = FLEET_UPSTREAM_COUNT - FLEET_SERVICE_COUNT
    generations = [
        create_generation(f"service-{index}", 2 if index < extra else 1)
        for index in range(FLEET_SERVICE_COUNT)
    ]
    tracemalloc.start()
    tables = [create_table(generation) for generation in generations]
    used_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    started = time.process_time()
    tables = [create_table(generation) for generation in generations]
    elapsed_s = time.process_time() - started
    print(
        f"fleet: {len(tables)} tables, {used_bytes / 2**20:.1f} MiB,"
        f" {elapsed_s:.2f} s of processor time, {elapsed_s / len(tables) * 1e6:.0f} us a table"
    )


def main() -> None:
    """Run all comparisons and print the results."""
    print_policies(UPSTREAM_COUNTS, (1,))
    print_policies((7, 50), (1, 2, 3))
    print_fleet()


if __name__ == "__main__":
    main()

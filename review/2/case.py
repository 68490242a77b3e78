"""The store comes back from an older copy; later a version drops a route (CONFIG)."""

import asyncio
import sys
import time
from pathlib import Path

from world import World, build_config, has_trouble, run_case, to_number

ROUTE = (to_number("127.0.9.1"), 443)
DROPPED = (to_number("127.0.9.2"), 443)
ROUTES = {ROUTE: "desk", DROPPED: "desk"}
ZONES = ("zone-a", "zone-b", "zone-c")
BOUNDS = {
    "ContactMs": 6000,
    "AckTimeoutMs": 10000,
    "CatchUpS": 6,
    "DrainTimeoutMs": 6000,
    "ConfigApplyMs": 6000,
    "MaxSkewMs": 20000,
    "RecoveryS": 15,
}
"""The bounds of the site mtc-vault-large that differ from the others."""

STORM_VERSIONS, STORM_GAP_S = 12, 0.33
AWAY_S = 1.0
QUIET_S = 9.0
"""Time after the store's return in which nothing happens; machines are in touch after 6 s."""

OBSERVED_S = 14.0


async def play():
    """Play the case; return whether the rule held."""
    world = World(Path(__file__).parent, bounds=BOUNDS)
    store = world.store
    late = []
    acked_s = None

    def check_opening(server, key, addr):
        if acked_s is None or key[2:] != DROPPED:
            return
        consumer = next(item for item in world.consumers if item.number == key[0])
        flow = consumer.flows.get(key[1])
        sent_s = flow.opened_s if flow is not None else acked_s
        if sent_s - acked_s > world.bounds["ConfigApplyMs"] / 1000:
            late.append(sent_s)
            world.violate(
                "CONFIG",
                server=server.name,
                reason="run with a dropped route",
                sent_after_ack_s=round(sent_s - acked_s, 3),
                via=addr[0],
            )

    async def write_storm(version):
        for _ in range(STORM_VERSIONS):
            await asyncio.sleep(STORM_GAP_S)
            version += 2
            store.put(
                "op/config", build_config(version, ROUTES, ["desk"], timeout_ms=1500 + version)
            )
        return version

    world.opening_listeners.append(check_opening)
    try:
        await store.start()
        store.put("op/config", build_config(3, ROUTES, ["desk"]))
        for number in range(6):
            await world.add_server(f"i-{number + 1:04x}", "desk", ZONES[number % 3])
        await world.start_entries()
        for number in range(9):
            consumer = await world.add_consumer(ZONES[number % 3])
            route = DROPPED if number >= 6 else ROUTE
            world.spawn(world.use_fresh_flows(consumer, route, 0.1))
        await asyncio.sleep(4.0)
        copy = store.copy()
        version = await write_storm(3)
        if has_trouble():
            store.take_down()
            await asyncio.sleep(AWAY_S)
            store.restore(copy)
            store.put(
                "op/config", build_config(version, ROUTES, ["desk"], timeout_ms=1500 + version)
            )
            for server in world.servers:
                server.register_again()
        await asyncio.sleep(QUIET_S)
        store.put("op/config", build_config(version + 3, {ROUTE: "desk"}, ["desk"]))
        acked_s = time.monotonic()
        await asyncio.sleep(OBSERVED_S)
    finally:
        await world.stop()
    print(f"answered {world.answered}, openings with the dropped route: {len(late)}")
    return not late


sys.exit(run_case(play))

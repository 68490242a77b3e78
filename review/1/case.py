"""An entry of another writer that can't be read; later a zone is evacuated (EVAC)."""

import asyncio
import sys
import time
from pathlib import Path

from world import World, build_config, has_trouble, run_case, to_number

ROUTE = (to_number("127.0.9.1"), 443)
ZONES = ("zone-a", "zone-b", "zone-c")
UNREADABLE = b'{"Note": ' + b"[" * 4000
"""Bytes that are no JSON, since they end in the middle; 4 KB of the 1 MB that a value may have."""

QUIET_S = 8.0
"""Time between the entry and the evacuation, in which nothing else happens."""

OBSERVED_S = 12.0


async def play():
    """Play the case; return whether the rule held."""
    world = World(Path(__file__).parent)
    late = []
    acked_s = None

    def check_opening(server, key, addr):
        if acked_s is None or server.zone != "zone-a":
            return
        age_s = time.monotonic() - acked_s
        if age_s > world.bounds["EvacuateMs"] / 1000:
            late.append(age_s)
            world.violate("EVAC", server=server.name, after_ack_s=round(age_s, 3), via=addr[0])

    world.opening_listeners.append(check_opening)
    try:
        await world.store.start()
        world.store.put("op/config", build_config(3, {ROUTE: "desk"}, ["desk"]))
        for number in range(6):
            await world.add_server(f"i-{number + 1:04x}", "desk", ZONES[number % 3])
        await world.start_entries()
        for number in range(9):
            consumer = await world.add_consumer(ZONES[number % 3])
            world.spawn(world.use_fresh_flows(consumer, ROUTE, 0.1))
        await asyncio.sleep(4.0)
        if has_trouble():
            world.store.put("servers/i-0f0f", UNREADABLE)
        await asyncio.sleep(QUIET_S)
        calls = world.store.calls
        world.store.put("op/evacuate/zone-a", {})
        acked_s = time.monotonic()
        await asyncio.sleep(OBSERVED_S)
        print(f"calls to the store since the ack: {world.store.calls - calls}")
    finally:
        await world.stop()
    print(f"answered {world.answered}, openings in the zone after the bound: {len(late)}")
    return not late


sys.exit(run_case(play))

"""Entries are restarted in turn while single datagrams are lost (FLOW)."""

import asyncio
import random
import signal
import sys
import time
from pathlib import Path

from world import CannotRunError, World, build_config, describe, has_trouble, run_case, to_number

ROUTE = (to_number("127.0.9.1"), 443)
ZONES = ("zone-a", "zone-b")
LOSS_INTERVAL = 100
"""Each of so many SYN+ACKs one is lost, with and without the disruption; no other datagram is."""

FLOWS_PER_CONSUMER = 20
FLOW_S = 8.0
ROLLED = (0, 5, 1, 6)
"""4 of 10 machines, a share of 0.4; the site file gives 0.45."""

ROLL_GAP_S = 5.0


async def play():
    """Play the case; return whether the rule held."""
    world = World(Path(__file__).parent, ZONES, entries=5)
    broken = []

    def check_reset(flow, sender):
        owner = world.open_at.get(flow.key)
        is_current = time.monotonic() - flow.opened_s < world.bounds["MaxFlowS"]
        if not flow.is_open or owner is None or not owner.is_alive or not is_current:
            return
        broken.append(flow)
        others = [
            server.name
            for server in world.servers
            if server is not owner and flow.key in server.reset_keys
        ]
        world.violate("FLOW", flow=describe(flow.key), server=owner.name, reset_by=others or sender)

    async def use(consumer):
        await asyncio.sleep(random.uniform(0.0, 8.0))
        while True:
            flow = consumer.create_flow(ROUTE)
            if await flow.open():
                while time.monotonic() - flow.opened_s < FLOW_S and not flow.is_ended:
                    await flow.request(1.5)
                    await asyncio.sleep(random.uniform(0.5, 1.5))
            flow.close()
            await asyncio.sleep(0.1)

    world.reset_listeners.append(check_reset)
    try:
        await world.store.start()
        world.store.put("op/config", build_config(3, {ROUTE: "desk"}, ["desk"]))
        for number in range(8):
            await world.add_server(f"i-{number + 1:04x}", "desk", ZONES[number % 2])
        await world.start_entries()
        world.loss_interval = LOSS_INTERVAL
        for number in range(20):
            consumer = await world.add_consumer(ZONES[number % 2])
            for _ in range(FLOWS_PER_CONSUMER):
                world.spawn(use(consumer))
        await asyncio.sleep(9.0)
        for number in ROLLED:
            if has_trouble():
                world.entries[number].send_signal(signal.SIGTERM)
            await asyncio.sleep(ROLL_GAP_S)
        await asyncio.sleep(4.0)
        if not has_trouble() and world.routers.changes:
            raise CannotRunError("a node left the rotation although nothing disturbed it")
    finally:
        await world.stop()
    print(f"answered {world.answered}, open flows reset by other servers: {len(broken)}")
    return not broken


sys.exit(run_case(play))

"""A primary is cut off for a moment, some times, and later crashes while a replica receives nothing.

The control leader must decide on the successor by positions that it reads then, not by those that it
read when the primary had been silent before.
"""

import asyncio
import os
import time

from fleet import CannotRun, Fleet
from runner import TROUBLE, run_case
from standins import (Client, Closed, Platform, Server, Service, configuration, configure,
                      lost_commits, route, wait_until)

CROSS_REGION_S = 0.012  # cross_region_ms = 12.0
DEAF_S = 6.0            # Largest dose of replica_lag in the site file: 6.5 s.
CRASH_AFTER_S = 2.0
# Most times that the primary is cut off; with FLAPS=0 it is not.
FLAPS = int(os.environ.get("FLAPS", "20"))


async def play(record, cleanups):
    service = Service(record, "ledger", sync_replicas=1)
    platform = Platform(record, {"ledger": service}, promote_s=0.3)
    await platform.start()
    fleet = Fleet(record, platform.address, controls=3, proxies=6, tolerated=1)
    cleanups.append(fleet.stop_all)
    fleet.start_all()
    for name in ("i-4a", "i-7b", "i-9c"):
        Server(service, name, distance_s=CROSS_REGION_S, replication_s=lambda: CROSS_REGION_S)
    servers = service.servers
    service.primary = "i-9c"
    setup = configuration(1, [route("orders", "ledger")], [service])
    if not await configure(record, fleet.control_addresses, setup):
        raise CannotRun("no configuration was acknowledged")
    for server in servers.values():
        await server.start(fleet.control_addresses)
        if server.name != service.primary:
            server.receive_from(servers[service.primary])

    acknowledged = {}
    is_over = False

    async def write_orders(index):
        number = 0
        while not is_over:
            client = Client(record, f"client-{index}", fleet.address(f"proxy-{index % 6 + 1}"), "orders")
            try:
                if await client.open():
                    while not is_over:
                        number += 1
                        text = f"WRITE order-{index}-{number} deposit"
                        _, outcome, _ = await client.query(text)
                        if outcome == "ok":
                            acknowledged[text] = time.monotonic()
                        await asyncio.sleep(0.1)
            except (Closed, OSError):
                pass
            await asyncio.sleep(0.2)

    promotions = []
    service.on_promoted = lambda *each: promotions.append(each)
    clients = [asyncio.create_task(write_orders(index)) for index in range(12)]
    if not await wait_until(lambda: len(acknowledged) > 100, 20):
        raise CannotRun("the fleet does not serve")
    await asyncio.sleep(3)

    async def end():
        nonlocal is_over
        is_over = True
        await asyncio.gather(*clients, return_exceptions=True)
        record.add("check", f"{len(acknowledged)} commits acknowledged; "
                            f"promotions: {[each[:3] for each in service.promotions]}")
        return lost_commits(acknowledged, promotions, service.term_of)

    if not TROUBLE:
        await asyncio.sleep(10)
        return await end()
    for flap in range(FLAPS):
        queries = sum(each.status_calls for each in servers.values())
        decided = len(service.promotions)
        await servers[service.primary].go_dark(0.74 + 0.04 * (flap % 8))
        await asyncio.sleep(2.5)
        if (sum(each.status_calls for each in servers.values()) > queries and
                len(service.promotions) == decided):
            record.add("check", "positions were read, and the primary stayed")
            break
    primary = servers[service.primary]
    deaf = min((each for each in servers.values() if each is not primary), key=lambda each: each.name)
    await asyncio.sleep(2)
    record.add(deaf.name, "receives nothing")
    deaf.is_deaf = True
    await asyncio.sleep(CRASH_AFTER_S)
    decided = len(service.promotions)
    primary.crash()
    if not await wait_until(lambda: len(service.promotions) > decided, 20):
        raise CannotRun("no database was promoted")
    await asyncio.sleep(DEAF_S - CRASH_AFTER_S)
    deaf.is_deaf = False
    await asyncio.sleep(2)
    return await end()


run_case(play)

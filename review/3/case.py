"""A control leader is killed while the platform carries out the promotion that it has called for.

The primary has crashed, and one replica has received nothing for a while before. The new leader must
not hand the lead to that replica: it lacks commits that were acknowledged.
"""

import asyncio
import os
import signal
import time

from runner import TROUBLE, run_case
from fleet import CannotRun, Fleet
from standins import (Client, Closed, Platform, Server, Service, configuration, configure,
                      lost_commits, route, wait_until)

DEAF_S = 6.0          # Largest dose of replica_lag in the site file: 6.5 s.
CRASH_AFTER_S = 2.0   # The primary crashes this long after the replica went deaf.
CRASH_S = 7.0         # Largest dose of srv_crash in the site file.
# With KILL=0 the replica is deaf and the primary crashes, but no control instance is killed.
KILLS = os.environ.get("KILL", "1") != "0"
NODE_KILL_S = 3.0     # Largest dose of node_kill on the core in the site file: 3.5 s.


async def play(record, cleanups):
    service = Service(record, "ledger", sync_replicas=1)
    platform = Platform(record, {"ledger": service}, promote_s=0.3)
    await platform.start()
    fleet = Fleet(record, platform.address, controls=3, proxies=2, tolerated=1)
    cleanups.append(fleet.stop_all)
    fleet.start_all()
    servers = {name: Server(service, name) for name in ("i-4a", "i-7b", "i-9c")}
    deaf, other, primary = servers["i-4a"], servers["i-7b"], servers["i-9c"]
    service.primary = primary.name
    setup = configuration(1, [route("orders", "ledger")], [service])
    if not await configure(record, fleet.control_addresses, setup):
        raise CannotRun("no configuration was acknowledged")
    for server in servers.values():
        await server.start(fleet.control_addresses)
    deaf.receive_from(primary)
    other.receive_from(primary)

    acknowledged = {}  # Text of the write -> time
    is_over = False

    async def write_orders(index):
        number = 0
        while not is_over:
            client = Client(record, f"client-{index}", fleet.address(f"proxy-{index % 2 + 1}"), "orders")
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
    clients = [asyncio.create_task(write_orders(index)) for index in range(4)]
    if not await wait_until(lambda: len(acknowledged) > 40, 20):
        raise CannotRun("the fleet does not serve")
    await asyncio.sleep(3)

    killed = []

    def kill_leader(holder, fence, name):
        if KILLS and not killed and fleet.is_running(holder):
            killed.append(holder)
            fleet.signal(holder, signal.SIGKILL)

    platform.on_call = kill_leader
    if not TROUBLE:
        await asyncio.sleep(10)
        is_over = True
        await asyncio.gather(*clients, return_exceptions=True)
        record.add("check", f"{len(acknowledged)} commits acknowledged, no promotion")
        return lost_commits(acknowledged, promotions, service.term_of)
    record.add(deaf.name, "receives nothing")
    deaf.is_deaf = True
    await asyncio.sleep(CRASH_AFTER_S)
    before = len(acknowledged)
    primary.crash()
    crashed_at = time.monotonic()
    deaf_until = crashed_at - CRASH_AFTER_S + DEAF_S
    if not await wait_until(lambda: service.promotions, 20):
        raise CannotRun("no database was promoted")
    if killed:
        await asyncio.sleep(NODE_KILL_S)
        fleet.start(killed[0])
    await asyncio.sleep(max(0.0, deaf_until - time.monotonic()))
    record.add(deaf.name, "receives again")
    deaf.is_deaf = False
    await asyncio.sleep(max(0.0, crashed_at + CRASH_S - time.monotonic()))
    primary.state = "ready"
    await primary.start(fleet.control_addresses)
    await asyncio.sleep(6)
    is_over = True
    await asyncio.gather(*clients, return_exceptions=True)
    record.add("check", f"{before} commits acknowledged before the crash, {len(acknowledged)} in all; "
                        f"promotions: {[each[:3] for each in service.promotions]}")
    if KILLS and not killed:
        raise CannotRun("no leader was killed")
    return lost_commits(acknowledged, promotions, service.term_of)


run_case(play)

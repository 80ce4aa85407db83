"""The primaries of some services are replaced while transactions are open.

Where commits wait for a replica, a promotion must not lose one that was acknowledged. The databases
of a service stand in two regions, 12 ms apart, as in the site file. All callers and the leader of
the control instances are near the primary.
"""

import asyncio
import time

from fleet import CannotRun, Fleet
from runner import TROUBLE, run_case
from standins import (Client, Closed, Platform, Server, Service, configuration, configure,
                      lost_commits, route, wait_until)

IN_ZONE_S = 0.0001       # in_zone_ms = 0.1
CROSS_REGION_S = 0.012   # cross_region_ms = 12.0
PROMOTE_S = 0.3          # promote_ms = 300.0
WORK_S = 0.0045          # work_ms of order-entry: mean = 4.5
DRAIN_S = 7.0
SERVICES = 5
CLIENTS = 24             # For each service; its databases accept 28 connections.
PAUSE_S = 0.25           # Between the statements of a transaction.


async def play(record, cleanups):
    services = {f"ledger-{index + 1}": Service(record, f"ledger-{index + 1}", sync_replicas=1)
                for index in range(SERVICES)}
    platform = Platform(record, services, promote_s=PROMOTE_S)
    await platform.start()
    fleet = Fleet(record, platform.address, controls=3, proxies=2, tolerated=1)
    cleanups.append(fleet.stop_all)
    fleet.start_all()
    setup = configuration(1, [route("orders-" + name, name) for name in services], services.values())
    if not await configure(record, fleet.control_addresses, setup):
        raise CannotRun("no configuration was acknowledged")

    def add(service, name, distance_s):
        server = Server(service, name, work_s=WORK_S, replication_s=lambda: distance_s or IN_ZONE_S,
                        distance_s=distance_s)
        return server

    near = {}
    for index, (name, service) in enumerate(services.items()):
        primary = add(service, f"i-{index}5c", 0.0)
        far = [add(service, f"i-{index}{each}", CROSS_REGION_S) for each in ("2e", "8a")]
        service.primary, near[name] = primary.name, primary
        for server in (primary, *far):
            await server.start(fleet.control_addresses)
        for server in far:
            server.receive_from(primary)

    acknowledged = {}  # Text of the write -> time
    is_over = False

    async def place_orders(service, index):
        number = 0
        while not is_over:
            client = Client(record, f"{service}-client-{index}",
                            fleet.address(f"proxy-{index % 2 + 1}"), "orders-" + service)
            try:
                if not await client.open():
                    await asyncio.sleep(0.2)
                    continue
                while not is_over:
                    number += 1
                    texts = [f"WRITE {service}-{index}-{number}-{line} x" for line in (1, 2)]
                    outcome = "ok"
                    for text in ("BEGIN", *texts, "COMMIT"):
                        _, outcome, _ = await client.query(text)
                        if outcome != "ok":
                            break
                        await asyncio.sleep(PAUSE_S if text.startswith("WRITE") else 0)
                    if outcome == "ok":
                        acknowledged.update((text, time.monotonic()) for text in texts)
                    else:
                        client.close()
                        break
            except (Closed, OSError):
                pass
            await asyncio.sleep(0.1)

    promotions = []
    for service in services.values():
        service.on_promoted = lambda *each: promotions.append(each)
    clients = [asyncio.create_task(place_orders(name, index))
               for name in services for index in range(CLIENTS)]
    if not await wait_until(lambda: len(acknowledged) > 600, 30):
        raise CannotRun("the fleet does not serve")
    await asyncio.sleep(3)
    if TROUBLE:
        for index, (name, service) in enumerate(services.items()):
            # The new database starts first, beside the old one, then the old one drains.
            new = add(service, f"i-{index}6d", 0.0)
            await new.start(fleet.control_addresses)
            new.receive_from(near[name])
        await asyncio.sleep(2)
        for primary in near.values():
            primary.drain()
            await asyncio.sleep(0.5)
        await asyncio.sleep(DRAIN_S + 1)
    else:
        await asyncio.sleep(10)
    is_over = True
    await asyncio.gather(*clients, return_exceptions=True)
    term_of = {text: term for service in services.values()
               for text, term in service.term_of.items()}
    for service in services.values():
        for name, holder, fence, _ in service.promotions:
            record.add("check", f"{service.name}: {name} promoted by {holder} with fence {fence}")
    record.add("check", f"{len(acknowledged)} writes acknowledged")
    breaks = []
    for service in services.values():
        own = [each for each in promotions if each[0] in service.servers]
        mine = {text for text in acknowledged if text in service.term_of}
        breaks += lost_commits(mine, own, service.term_of)
    if TROUBLE and not promotions:
        raise CannotRun("no database was promoted")
    return breaks


run_case(play)

"""A proxy gets SIGTERM while the clients of its sessions send one statement after the other.

Whatever the proxy still reads and passes on to a database must be answered before it ends.
"""

import asyncio
import random
import signal
import time

from fleet import BOUNDS, CannotRun, Fleet
from runner import TROUBLE, run_case
from standins import (Client, Closed, Platform, Server, Service, configuration, configure, route,
                      wait_until)

GRACE_S = BOUNDS["grace_period_s"]
READERS = 6
WRITERS = 6


def work_s(text):
    """Heavy ones of the site file: work_ms of stock-lookup has max = 170.0, of order-entry 34.0."""
    return random.uniform(0.08, 0.17) if "READ" in text else random.uniform(0.025, 0.034)


async def play(record, cleanups):
    service = Service(record, "ledger", slots=2)
    platform = Platform(record, {"ledger": service})
    await platform.start()
    fleet = Fleet(record, platform.address, controls=3, proxies=2, tolerated=1)
    cleanups.append(fleet.stop_all)
    fleet.start_all()
    servers = [Server(service, name, work_s=work_s) for name in ("i-1a", "i-2b", "i-3c")]
    service.primary = servers[0].name
    setup = configuration(1, [route("orders", "ledger"),
                              route("stock", "ledger", "bounded_staleness", timeout_ms=1500,
                                    target_ms=600, max_staleness_ms=1500)], [service])
    if not await configure(record, fleet.control_addresses, setup):
        raise CannotRun("no configuration was acknowledged")
    for server in servers:
        await server.start(fleet.control_addresses)
    for server in servers[1:]:
        server.receive_from(servers[0])

    answered, cut = [], []
    state = {"over": False, "stop": None}

    async def use(index):
        writes = index >= READERS
        client = Client(record, f"client-{index}", fleet.address("proxy-1"),
                        "orders" if writes else "stock")
        while not await client.open():
            await asyncio.sleep(0.2)
        number = 0
        while not state["over"]:
            number += 1
            sent = time.monotonic()
            try:
                _, outcome, _ = await client.query(f"WRITE order-{index}-{number} x" if writes
                                                   else f"READ item-{index}-{number}")
                answered.append((sent, outcome))
                if outcome != "ok":
                    await asyncio.sleep(0.2)
            except Closed as closed:
                cut.append((sent, time.monotonic(), str(closed), 0.8 if writes else 1.5))
                return

    clients = [asyncio.create_task(use(index)) for index in range(READERS + WRITERS)]
    if not await wait_until(lambda: sum(each[1] == "ok" for each in answered) > 100, 20):
        raise CannotRun("the fleet does not serve")
    await asyncio.sleep(5)  # contact_window_ms without any disruption
    state["stop"] = time.monotonic()
    if TROUBLE:
        fleet.signal("proxy-1", signal.SIGTERM)
        await wait_until(lambda: not fleet.is_running("proxy-1"), GRACE_S)
        record.add("proxy-1", f"ended after {time.monotonic() - state['stop']:.2f} s: "
                              f"{not fleet.is_running('proxy-1')}")
        if fleet.is_running("proxy-1"):
            fleet.signal("proxy-1", signal.SIGKILL)
        await asyncio.sleep(1)
    else:
        await asyncio.sleep(GRACE_S)
    state["over"] = True
    await asyncio.gather(*clients, return_exceptions=True)

    passed_on, texts = {}, {}  # By statement id: when a database began to run it, and its text
    for server in servers:
        passed_on.update((each[1], each[0]) for each in server.runs)
        texts.update((each[1], each[2]) for each in server.runs)
    breaks = []
    for sent, ended, statement_id, timeout_s in cut:
        after = sent - state["stop"]
        what = (f"statement {statement_id}, sent {after:.3f} s after SIGTERM, was cut "
                f"{(ended - sent) * 1000:.0f} ms later")
        if statement_id not in passed_on:
            record.add("check", what + ", not passed on to a database: no break")
        elif ended - state["stop"] > GRACE_S + 1 or ended - sent > timeout_s:
            record.add("check", what + ", past the grace period or its time-out: no break")
        elif after <= 3 and ended - state["stop"] > GRACE_S * 5 / 6:
            record.add("check", what + ": excused")
        else:
            breaks.append(f"LOST: {what} ({texts[statement_id]}), "
                          f"{(ended - passed_on[statement_id]) * 1000:.0f} ms after a database began to run it")
    record.add("check", f"{len(answered)} answers")
    return breaks


run_case(play)

"""A domain with the primary and a replica crashes; the replica starts again under the same id."""

import asyncio
import os
import sys

sys.dont_write_bytecode = True
FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common-3"))
import fleet as f  # noqa: E402

CLIENTS = 8
REPLICA_DOWN_S = 0.5
PRIMARY_DOWN_S = 7.0


async def client(fleet, record, number, acknowledged, on_acknowledged):
    session = None
    while True:
        if session is None or session.writer is None:
            session = f.Session(fleet.callers[number % 2], record, f"client-{number}")
            if not await session.open("orders"):
                await asyncio.sleep(0.1)
                continue
        outcome, _, statement = await session.query(f"WRITE item-{number} data")
        if outcome == "OK":
            acknowledged.add(statement)
            on_acknowledged(statement)
        await asyncio.sleep(0.01 if outcome == "OK" else 0.1)


async def case(record, trouble):
    fleet = f.Fleet(record)
    service = f.Service("ledger", record, sync_replicas=1)
    fleet.platform.services["ledger"] = service
    acknowledged = set()
    lost = []
    tasks = []

    def check(database):
        held = {statement for _, statement in database.log}
        missing = sorted(acknowledged - held)
        lost.extend(missing)
        record.say(f"{database.id} is promoted with {len(database.log)} commits; "
                   f"{len(acknowledged)} were acknowledged, {len(missing)} of them are missing")
        for statement in missing:
            record.add(database.id, f"lacks id={statement}")

    try:
        # i-1 and i-2 are in one domain, i-3 is in another region, 25 ms away.
        for index, receive_s in enumerate((0.002, 0.002, 0.025)):
            database = f.Database(service, f"i-{index + 1}", "near", fleet.database_address(index),
                                  fleet.control_plane, record, receive_s)
            if index == 0:
                service.leader = database
            await database.start()
        first, second, third = service.databases.values()
        await fleet.start_all()
        status = await fleet.configure(
            f.configuration(1, [f.route("orders", "ledger")], ["ledger"], sync_replicas=1))
        if status != 200:
            raise f.CannotRun("the configuration was not acknowledged")
        await fleet.wait_ready()
        await asyncio.sleep(3.0)
        service.on_promote = check
        strikes = asyncio.Event()
        has_struck = asyncio.Event()

        def strike(statement):
            """The crash comes right after an acknowledgement; its commit is on its way to i-3."""
            on_its_way = all(each != statement for _, each in third.log[-1000:])
            if strikes.is_set() and not has_struck.is_set() and on_its_way:
                first.crash()
                second.crash()
                has_struck.set()

        tasks = [asyncio.ensure_future(client(fleet, record, n, acknowledged, strike))
                 for n in range(CLIENTS)]
        await asyncio.sleep(6.0)
        if trouble:
            strikes.set()
            await asyncio.wait_for(has_struck.wait(), 10.0)
            await asyncio.sleep(REPLICA_DOWN_S)
            await second.start_again(keeps_log=False)
            await asyncio.sleep(PRIMARY_DOWN_S - REPLICA_DOWN_S)
            await first.start_again(keeps_log=True)
        await asyncio.sleep(6.0)
        if len(acknowledged) < 100:
            raise f.CannotRun("too few commits were acknowledged")
        record.say(f"acknowledged {len(acknowledged)}, lost {len(lost)}; "
                   f"{service.leader.id} leads with {len(service.leader.log)} commits")
        return not lost
    finally:
        for task in tasks:
            task.cancel()
        for database in service.databases.values():
            if database.runs:
                database.stop()
        await fleet.stop()


f.run(case, FOLDER)

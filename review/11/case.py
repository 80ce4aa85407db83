"""A route moves to another service and back; its session does not see its own commit."""

import asyncio
import os
import sys

sys.dont_write_bytecode = True
FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common-3"))
import fleet as f  # noqa: E402

ROUNDS = 10
LATE_S = 1.2  # One replica applies 60 times as late as usual, 20 ms.
STALENESS_MS = 2500
APPLIED_S = 0.15


def make_configuration(version, service):
    return f.configuration(
        version,
        [
            f.route("orders", service, "read_your_writes", staleness_ms=STALENESS_MS),
            f.route("first-orders", "first"),
            f.route("second-orders", "second"),
        ],
        ["first", "second"],
    )


async def write_steadily(fleet, record, host, number, pause):
    """Other clients, whose writes tell the proxies the positions of the primary."""
    session = None
    while True:
        if session is None or session.writer is None:
            session = f.Session(fleet.callers[number], record, f"writer-{host}-{number}")
            if not await session.open(host):
                await asyncio.sleep(0.2)
                continue
        await session.query(f"WRITE item-{number} data")
        await asyncio.sleep(pause)


async def case(record, trouble):
    fleet = f.Fleet(record)
    services = [f.Service("first", record), f.Service("second", record)]
    tasks = []
    runs = {}

    def on_run(database, statement):
        runs[statement] = (database, [each for _, each in database.log])

    try:
        for service_index, service in enumerate(services):
            fleet.platform.services[service.name] = service
            for index in range(3):
                # The replicas apply late. The primaries are in another region.
                database = f.Database(
                    service, f"i-{service.name}-{index + 1}", "far" if index == 0 else "near",
                    fleet.database_address(service_index * 3 + index), fleet.control_plane, record,
                    LATE_S if trouble and index == 1 else f.LAG_S)
                database.on_run = on_run
                if index == 0:
                    service.leader = database
                await database.start()
        await fleet.start_all()
        version = 1
        if await fleet.configure(make_configuration(version, "first")) != 200:
            raise f.CannotRun("the configuration was not acknowledged")
        await fleet.wait_ready()
        await asyncio.sleep(3.0)
        # The second service is less busy, so that its commits have lower numbers.
        tasks = [asyncio.ensure_future(write_steadily(fleet, record, host, number, pause))
                 for host, pause in (("first-orders", 0.05), ("second-orders", 0.5))
                 for number in range(2)]
        await asyncio.sleep(5.0)
        checked = stale = 0
        for index in range(ROUNDS):
            session = f.Session(fleet.callers[index % 2], record, "session")
            if not await session.open("orders"):
                continue
            outcome, _, commit = await session.query("WRITE item-1 mine")
            if outcome != "OK":
                continue
            if trouble:
                version += 1
                await fleet.configure(make_configuration(version, "second"))
                await asyncio.sleep(APPLIED_S)
            other, _, _ = await session.query("WRITE item-2 mine")
            if trouble:
                version += 1
                await fleet.configure(make_configuration(version, "first"))
                await asyncio.sleep(APPLIED_S)
            outcome, _, read = await session.query("READ item-1")
            session.close()
            if outcome == "OK" and other == "OK" and read in runs:
                database, log = runs[read]
                if database.service is not services[0]:
                    continue
                checked += 1
                if commit not in log:
                    stale += 1
                    record.say(f"read {read} ran on {database.id}, whose log lacks the commit "
                               f"{commit} of the same session")
            await asyncio.sleep(0.5)
        record.say(f"{checked} reads were checked, {stale} were stale")
        if checked == 0:
            raise f.CannotRun("no read could be checked")
        return stale == 0
    finally:
        for task in tasks:
            task.cancel()
        for service in services:
            for database in service.databases.values():
                if database.runs:
                    database.stop()
        await fleet.stop()


f.run(case, FOLDER)

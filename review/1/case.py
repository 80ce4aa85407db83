"""Two machines of the core lose their disks while a machine that left for good is being replaced.

Five machines of the core, and the loss of two is to be borne. A sixth one is added and has had more
than `catch_up_s`; then one of the five is stopped for good. What the operator had acknowledged must
still be there.
"""

import asyncio
import json
import signal
import time

from fleet import BOUNDS, CannotRun, Fleet
from runner import TROUBLE, run_case
from standins import Platform, Service, configuration, configure, control_call, http_call, route

ROUNDS = 4
STRIKE_S = (1.58, 1.56, 1.60, 1.54)  # After the SIGTERM.
WIPE_DOWN_S = 0.9  # down_s of the final fault; at most 1.2 in the site file.


async def play(record, cleanups):
    service = Service(record, "ledger")
    platform = Platform(record, {"ledger": service})
    await platform.start()
    fleet = Fleet(record, platform.address, controls=5 + ROUNDS, proxies=1, tolerated=2)
    cleanups.append(fleet.stop_all)
    controls = [name for name in fleet.nodes if name.startswith("control")]
    members, spare = controls[:5], controls[5:]
    fleet.start_all(but=spare)

    def addresses():
        return [fleet.address(name, "control_plane") for name in members]

    def setup(version):
        return configuration(version, [route("orders", "ledger", timeout_ms=700 + version)], [service])

    async def read_back(seconds):
        """The version that the operator reads, at all machines in turn; None if none comes."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            answer = await control_call(addresses(), "GET", "/api/configuration")
            if answer and answer[0] == 200:
                return json.loads(answer[2])["version"]
            await asyncio.sleep(0.2)
        return None

    async def find_leader():
        for _ in range(100):
            for name in members:
                answer = await http_call(fleet.address(name, "control_plane"), "GET",
                                         "/api/configuration")
                if answer and answer[0] == 200:
                    return name
            await asyncio.sleep(0.1)
        raise CannotRun("no control instance leads")

    version = 1
    if not await configure(record, addresses(), setup(version)):
        raise CannotRun("no configuration was acknowledged")
    await asyncio.sleep(8)  # All five are members, and have had catch_up_s.

    for number in range(ROUNDS):
        record.add("round", str(number + 1))
        new = spare[number]
        fleet.start(new)
        await asyncio.sleep(BOUNDS["catch_up_s"] + 1)
        leader = await find_leader()
        leaving = next(name for name in members if name != leader)
        members.append(new)
        fleet.signal(leaving, signal.SIGTERM)
        stopped_at = time.monotonic()
        members.remove(leaving)
        await asyncio.sleep(STRIKE_S[number])
        leader = await find_leader()
        version += 1
        body = json.dumps(setup(version)).encode()
        answer = await http_call(fleet.address(leader, "control_plane"), "PUT",
                                 "/api/configuration", body)
        if not answer or answer[0] != 200:
            raise CannotRun("the change was not acknowledged")
        record.add("operator", f"configuration {version} acknowledged by {leader}, "
                               f"{time.monotonic() - stopped_at:.3f} s after the SIGTERM")
        if TROUBLE:
            wiped = [leader, next(name for name in members if name not in (leader, new))]
            for name in wiped:
                fleet.signal(name, signal.SIGKILL)
            for name in wiped:
                fleet.processes[name].wait()
                fleet.lose_disk(name)
            await asyncio.sleep(WIPE_DOWN_S)
            for name in wiped:
                fleet.start(name)
        # recovery_s after all are back, then reads for contact_window_ms.
        read = await read_back(BOUNDS["recovery_s"] + BOUNDS["contact_window_ms"] / 1000)
        record.add("operator", f"reads configuration {read}")
        if read is None:
            return [f"CONFIG: configuration {version} was acknowledged; read back for "
                    f"{BOUNDS['recovery_s']} s and contact_window_ms after all machines are back, "
                    f"it does not come from any of {', '.join(members)}"]
        if read < version:
            return [f"CONFIG: configuration {version} was acknowledged, {read} is read back"]
        if not TROUBLE:
            break
        await asyncio.sleep(BOUNDS["catch_up_s"])
    return []


run_case(play)

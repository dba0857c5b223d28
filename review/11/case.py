"""CONFIG: the control group loses its quorum for good when a disk is lost right after a planned replacement."""
import asyncio
import json
import os
import shutil
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common-3"))
from fleet import *  # noqa: E402,F403

CATCH_UP_S = BOUNDS["catchUpS"]
RECOVER_S = BOUNDS["recoverS"]
PAUSE_S = float(os.environ.get("PAUSE_S", CATCH_UP_S + 0.05))  # From the planned removal to the loss of the disk.
READ_S = RECOVER_S + CATCH_UP_S + 13  # The operator reads for so long after the loss.


async def play(record, trouble):
    fleet = Fleet(record, fronts=2)
    try:
        await fleet.add_replica(Replica("i-0", "skald", fleet.next_ip() + ":8080", ZONES[0], stream=True))
        await fleet.start()
        routes, services = [route("chat", "/chat/", "stream", "skald")], [service("skald", stride=10)]
        await fleet.put_config(config(3, routes, services))
        await fleet.wait_ready()
        await asyncio.sleep(2)

        successor = Machine(fleet, "control", ["control", "directory"], "core", len(fleet.cores))
        successor.bootstrap = False
        fleet.machines.append(successor)
        fleet.cores.append(successor)
        record("planned: %s is added with an empty disk at a new address" % successor.name)
        successor.start()
        await asyncio.sleep(CATCH_UP_S + 2)
        await fleet.put_config(config(7, routes, services))

        leaving = fleet.cores[2]
        leaving.held = True
        record("planned: %s gets SIGTERM and is removed for good" % leaving.name)
        leaving.process.terminate()
        leaving.process.wait(BOUNDS["graceS"])
        fleet.cores.remove(leaving)
        await asyncio.sleep(PAUSE_S)
        if trouble:
            wiped = fleet.cores[0]
            record("%s loses its disk and is back at its address" % wiped.name)
            wiped.lose_power()
            shutil.rmtree(os.path.join(wiped.folder, "data"))
            os.mkdir(os.path.join(wiped.folder, "data"))
            await asyncio.sleep(0.3)
            wiped.regain_power()
        lost_at = time.monotonic()

        newest, tries = 0, 0
        while time.monotonic() < lost_at + READ_S:
            core = fleet.cores[tries % len(fleet.cores)]
            tries += 1
            answer = await send_request("%s:%d" % (core.ip, CONTROL), "GET", "/-/config/get", [("Host", "control")],
                                        timeout=1.0)
            if answer.status == 307:
                answer = await send_request(answer.fields["location"].split("/")[2], "GET", "/-/config/get",
                                            [("Host", "control")], timeout=1.0)
            if answer.status == 200 and answer.complete:
                newest = json.loads(answer.body)["version"]
            if tries % 10 == 1 or answer.status == 200:
                record("operator: reads the config at %s, %.1f s after -> %s%s" % (
                    core.name, time.monotonic() - lost_at, answer, ", version %d" % newest if newest else ""))
            if newest:
                break
            await asyncio.sleep(0.25)
        record("all machines but the replaced one have run for %.1f s; the config read back is %s" % (
            time.monotonic() - lost_at, newest or "none, after %d tries" % tries))
        return newest == 7
    finally:
        fleet.stop()
        fleet.remove()


run_case(HERE, play)

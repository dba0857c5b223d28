"""BUDGET: a request that crashes replicas is forgotten when it doesn't come for a minute, and crashes more of them."""
import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common-3"))
from fleet import *  # noqa: E402,F403

PAUSE_S = 64  # The request doesn't come for so long.
BACK_S = 3.0  # A replica that has crashed is back after this time.
REPLICAS = 9
AT_ONCE = 9  # Requesters that send it again after the pause, three at each gateway.
BODY = b"an order that crashes the replica"


class Crashing(Replica):
    """Crashes when it begins to run BODY: its channels are reset, and its port is closed until it is back."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.channels, self.crashes = set(), []

    async def serve(self, reader, writer):
        self.channels.add(writer)
        try:
            await super().serve(reader, writer)
        finally:
            self.channels.discard(writer)

    async def answer(self, line, fields, body, writer):
        if body != BODY:
            await super().answer(line, fields, body, writer)
            return
        self.crashes.append((time.monotonic(), fields["x-request-id"]))
        self.server.close()
        for channel in list(self.channels):
            channel.transport.abort()
        await asyncio.sleep(BACK_S)
        await self.start()


async def play(record, trouble):
    fleet = Fleet(record)
    try:
        replicas = [Crashing("i-%d" % i, "prentstofa", fleet.next_ip() + ":8080", ZONES[i % 3])
                    for i in range(REPLICAS)]
        for replica in replicas:
            await fleet.add_replica(replica)
        await fleet.start()
        await fleet.put_config(config(3, [route("orders", "/orders/", "unsafe", "prentstofa", 1500)],
                                      [service("prentstofa")]))
        await fleet.wait_ready()
        await asyncio.sleep(1)

        def crashes():
            return sorted(crash for replica in replicas for crash in replica.crashes)

        async def send(body, front):
            name = new_id()
            return name, await send_request(fleet.front_address(front), "POST", "/orders/x", [
                ("Host", HOST), ("X-Request-Id", name), ("X-Deadline-Ms", "1500"),
                ("Authorization", "Bearer " + KEY)], body, timeout=1.6)

        async def come(front):
            name, answer = await send(BODY, front)
            record("the request comes as %s at %s -> %s; crashes so far %d" % (
                name, fleet.fronts[front].name, answer, len(crashes())))

        others = {}

        async def other_clients():
            number = 0
            while True:
                number += 1
                answer = (await send(b"an order", number % len(fleet.fronts)))[1]
                others[str(answer)] = others.get(str(answer), 0) + 1
                await asyncio.sleep(0.02)

        background = [asyncio.ensure_future(other_clients()) for _ in range(4)]
        for number in range(6):
            await come(number % len(fleet.fronts))
            await asyncio.sleep(BACK_S + 1)
        before = crashes()
        if len(before) != 3:
            raise CannotRun("the request has crashed %d replicas, not three" % len(before))
        if trouble:
            record("the request doesn't come for %d s" % PAUSE_S)
            await asyncio.sleep(PAUSE_S)
        await asyncio.gather(*[come(number % len(fleet.fronts)) for number in range(AT_ONCE)])
        await asyncio.sleep(BACK_S + 1)
        for task in background:
            task.cancel()
        counted = [crash for crash in crashes() if crash[0] > before[2][0] + BOUNDS["contactMs"] / 1000]
        record("orders of other clients: %s" % others)
        record("retries that reached a replica later than contactMs after the third crash: %d; three are allowed" % (
            len(counted)))
        return len(counted) <= 3
    finally:
        fleet.stop()
        fleet.remove()


run_case(HERE, play)

"""For the cases on stores: their links, kept turns in large number, and the loss of a disk."""
import asyncio
import os
import shutil
import time

from fleet import *  # noqa: F403

CATCH_UP_S = BOUNDS["catchUpS"]
TURNS, BYTES = 560, 500_000  # 280 MB of the 390 MB that the disk of a store has.
CLIENTS = 12
CONTINUED = 8
LINK_BYTES_S = LIMITS["storage"]["linkMbps"] * 1_000_000 / 8
LISTEN = INNER + 1  # Where a store listens; at INNER, which it tells the others, is its link.


class Bucket:
    """What one machine's link lets in: `linkMbps`."""

    def __init__(self):
        self.free_at, self.bytes = 0.0, 0

    async def take(self, count):
        now = time.monotonic()
        self.free_at = max(self.free_at, now - 0.005) + count / LINK_BYTES_S
        self.bytes += count
        if self.free_at > now + 0.002:
            await asyncio.sleep(self.free_at - now)


class StoreLinks:
    """Carries the channels to the stores. What comes from all stores together, nearly all of it the copy for the store
    that has lost its disk, comes no faster than that store's link lets it in."""

    def __init__(self):
        self.bucket = Bucket()

    async def open(self, store):
        async def serve(reader, writer):
            onward = None
            try:
                inner, onward = await asyncio.open_connection(store.ip, LISTEN, limit=1 << 20)
                await asyncio.gather(self.pump(reader, onward, None), self.pump(inner, writer, self.bucket))
            except (OSError, asyncio.CancelledError):
                return
            finally:
                for end in (writer, onward):
                    if end is not None:
                        end.transport.abort()
        self.server = await asyncio.start_server(serve, store.ip, INNER, limit=1 << 20)

    @staticmethod
    async def pump(reader, writer, bucket):
        while True:
            data = await reader.read(1 << 17)
            if not data:
                raise ConnectionResetError
            if bucket is not None:
                await bucket.take(len(data))
            writer.write(data)
            await writer.drain()


class LinkedStore(Machine):
    def settings(self):
        settings = super().settings()
        settings["listen"]["rpc"] = "%s:%d" % (self.ip, LISTEN)
        return settings


async def lose_disk(record, store):
    record("%s loses its disk and is back at its address" % store.name)
    store.lose_power()
    shutil.rmtree(os.path.join(store.folder, "data"))
    os.mkdir(os.path.join(store.folder, "data"))
    await asyncio.sleep(0.3)
    store.regain_power()



class Turns:
    """Requesters of kept turns."""

    def __init__(self, fleet, record):
        self.fleet, self.record = fleet, record
        self.kept, self.kept_at = [], 0.0  # (session, id) of turns that were answered whole.

    async def send(self, channel, session, previous, body):
        request = new_id()
        headers = [("Host", HOST), ("X-Request-Id", request), ("X-Program-Id", session), ("X-Session-Id", session),
                   ("X-Finish-Ms", "60000"), ("X-Model", "m"), ("X-Token-Budget", "100000"),
                   ("X-Token-Count", "900,60"), ("X-Deadline-Ms", "4000"), ("Authorization", "Bearer " + KEY)]
        if previous is not None:
            headers.append(("X-Previous-Turn", previous))
        return request, await channel.request("POST", "/turns/x", headers, body, timeout=5.0)

    async def keep(self):
        """Sends TURNS first turns of BYTES bytes."""
        answers = {}

        async def client(number):
            channel = Channel(lambda: self.fleet.front_address(number))
            for _ in range(TURNS // CLIENTS):
                session = new_id()
                request, answer = await self.send(channel, session, None, os.urandom(BYTES // 2).hex().encode())
                answers[str(answer)] = answers.get(str(answer), 0) + 1
                if answer.status == 200 and answer.complete:
                    self.kept.append((session, request))
            channel.close()

        began = time.monotonic()
        await asyncio.gather(*[client(number) for number in range(CLIENTS)])
        self.kept_at = time.monotonic()
        self.record("%d turns of %d bytes were kept in %.1f s; answers: %s" % (
            len(self.kept), BYTES, self.kept_at - began, answers))
        if len(self.kept) < 0.9 * TURNS:
            raise CannotRun("too few turns were kept")

    async def go_on(self, number, session, previous):
        channel = Channel(lambda: self.fleet.front_address(number))
        tries = []
        for _ in range(6):
            _, answer = await self.send(channel, session, previous, b"and then?")
            tries.append(str(answer))
            if answer.status == 200 and answer.complete:
                break
            await asyncio.sleep(0.2)
        channel.close()
        self.record("turn after %s, %.1f s after all were kept -> %s" % (
            previous, time.monotonic() - self.kept_at, "; ".join(tries)))
        return answer.status == 200 and answer.complete, len(tries)

    async def are_served(self):
        """Continues some of the kept turns and begins a first one. Whether a quarter of the requests is served."""
        chosen = self.kept[::len(self.kept) // CONTINUED][:CONTINUED]
        results = await asyncio.gather(*[self.go_on(number, *entry) for number, entry in enumerate(chosen)])
        results.append(await self.go_on(0, new_id(), None))
        served, sent = sum(is_served for is_served, _ in results), sum(tries for _, tries in results)
        self.record("%d of %d kept turns could be continued, and a first turn: %s; served are %d of %d requests" % (
            sum(is_served for is_served, _ in results[:-1]), len(chosen), results[-1][0], served, sent))
        return served * 4 >= sent


async def start_fleet(fleet):
    """Starts a fleet whose stores have links, with a route for kept turns. Returns the links."""
    links = StoreLinks()
    for store in fleet.stores:
        store.__class__ = LinkedStore
        await links.open(store)
    for i in range(3):
        replica = Replica("i-%d" % i, "skald", fleet.next_ip() + ":8080", ZONES[i], stream=True, work_s=0.01)
        await fleet.add_replica(replica)
    await fleet.start()
    await fleet.put_config(config(3, [route("turns", "/turns/", "stream", "skald", retain=True)],
                                  [service("skald", stride=10)]))
    await fleet.wait_ready()
    await asyncio.sleep(1)
    return links

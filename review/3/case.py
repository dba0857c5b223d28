"""Clients send first turns whose ids are long, with heads of legal size."""
import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
import platform_memory  # noqa: E402
import replica  # noqa: E402
import standin  # noqa: E402

ID_BYTES = 14000 if standin.TROUBLE else 16  # maxHeaderBytes is 16384.
REQUESTS = 4000
CLIENTS = 16
RATE_PER_S = 236  # Of the tenant, as in the pages' example.
RUN_S = 60
AFTER_S = 15
MEMORY_MB = {"gateway": 110, "history": 130, "control": 256}
MACHINES, ENDS = 2, 3  # The rule: a tenth of the machines, two at least, on which processes end three times.


def fields_of(program, previous=""):
    fields = {"X-Program-Id": program, "X-Session-Id": "s1", "X-Finish-Ms": "60000", "X-Token-Budget": "100000",
              "X-Token-Count": "100,80", "X-Deadline-Ms": "3000", "X-Model": "m"}
    if previous:
        fields["X-Previous-Turn"] = previous
    return fields


def run(record):
    deployment = standin.Deployment(74, {"control": 3, "history": 3, "gateway": 2},
                                    limits={role: {"memoryMb": mb} for role, mb in MEMORY_MB.items()})
    memory = platform_memory.MemoryLimit(deployment, MEMORY_MB, record)
    try:
        quiet = lambda *words: None
        replicas = [replica.StreamReplica("i-%d" % i, quiet, events=1, gap=0.001) for i in range(2)]
        deployment.wait_ready(
            standin.configuration(
                [standin.route("talk", "/talk/", "stream", "model", retain=True, timeoutMs=3000)],
                [standin.service("model", engine={"slots": 16, "kvTokens": 122817, "kvTokenBytes": 131072,
                                                  "stride": 14, "models": [{"name": "m"}]})], rate=RATE_PER_S),
            [standin.entry(r.name, "model", r.server.address, 64) for r in replicas], "/talk/x")
        memory.start()
        kept = standin.request(deployment.front(0), "POST", "/talk/x", "kept-turn", b"remember this",
                               fields_of("kept-program"))
        record("TURN kept-turn", kept.status, "complete" if kept.complete else "incomplete")
        if not kept.complete:
            raise standin.CannotRun("the first turn was not answered")
        lock = threading.Lock()
        statuses = {}
        state = {"next": 0}
        end = time.monotonic() + RUN_S
        start = time.monotonic()

        def client(number):
            while time.monotonic() < end:
                with lock:
                    n = state["next"]
                    if n >= REQUESTS or len(memory.machines_that_ended(ENDS)) >= MACHINES:
                        return
                    # Within the tenant's rate, over all clients.
                    if n > RATE_PER_S * (time.monotonic() - start):
                        n = None
                    else:
                        state["next"] += 1
                if n is None:
                    time.sleep(0.01)
                    continue
                identity = ("r%d-" % n).ljust(ID_BYTES, "i")
                answer = standin.request(deployment.front(number % 2), "POST", "/talk/x", identity, b"hello",
                                         fields_of("p%d" % n))
                with lock:
                    statuses[answer.status] = statuses.get(answer.status, 0) + 1

        threads = [threading.Thread(target=client, args=(i,)) for i in range(CLIENTS)]
        for thread in threads:
            thread.start()
        while any(t.is_alive() for t in threads):
            time.sleep(2)
            record("requests", state["next"], "statuses", dict(statuses), "history MB",
                   {n: round(platform_memory.memory_mb(deployment.processes[n].pid))
                    for n in deployment.of("history")})
        answer = None
        after = time.monotonic() + AFTER_S
        tries = 0
        while time.monotonic() < after:
            tries += 1
            answer = standin.request(deployment.front(tries % 2), "POST", "/talk/x", "next-%d" % tries, b"go on",
                                     fields_of("kept-program", "kept-turn"))
            record("TURN that continues kept-turn, try", tries, "status", answer.status,
                   "complete" if answer.complete else "incomplete", answer.error)
            if answer.status == 200 and answer.complete and not memory.back and standin.TROUBLE == 0:
                break
            time.sleep(1)
        memory.stop()
        record("requests", state["next"], "statuses", statuses, "ends of processes:", memory.ends, "peaks in MB:",
               {n: round(p) for n, p in memory.peaks.items()})
        return len(memory.machines_that_ended(ENDS)) < MACHINES
    finally:
        memory.stop()
        deployment.stop()


standin.main(run)

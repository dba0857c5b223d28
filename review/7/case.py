"""A client uses the id of a turn again for the turn that continues it."""
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
import platform_memory  # noqa: E402
import replica  # noqa: E402
import standin  # noqa: E402

RETENTION_S = 10.0
STAGGER_S = 1.6
MEMORY_MB = {"gateway": 256, "history": 256, "control": 256}


def fields_of(program, previous=""):
    fields = {"X-Program-Id": program, "X-Session-Id": "s1", "X-Finish-Ms": "60000", "X-Token-Budget": "100000",
              "X-Token-Count": "100,80", "X-Deadline-Ms": "3000", "X-Model": "m"}
    if previous:
        fields["X-Previous-Turn"] = previous
    return fields


def run(record):
    deployment = standin.Deployment(77, {"control": 3, "history": 3, "gateway": 2})
    memory = platform_memory.MemoryLimit(deployment, MEMORY_MB, record)
    try:
        model = replica.StreamReplica("i-0", record, events=1, gap=0.001)
        deployment.wait_ready(
            standin.configuration(
                [standin.route("talk", "/talk/", "stream", "model", retain=True, retentionS=RETENTION_S)],
                [standin.service("model", engine={"slots": 16, "kvTokens": 122817, "stride": 14,
                                                  "models": [{"name": "m"}]})]),
            [standin.entry("i-0", "model", model.server.address, 64)], "/talk/x")
        # The storage machines are stopped and started in turn, as for planned work.
        started = {}
        for name in deployment.of("history"):
            deployment.signal(name, signal.SIGTERM)
            deployment.processes[name].wait()
            deployment.start(name)
            started[name] = time.monotonic()
            time.sleep(STAGGER_S)
        answering = lambda: {name: standin.request(deployment.machines[name]["listen"]["directory"], "GET",
                                                   "/-/resolve?name=%s&region=region-a&zone=zone-a" % standin.HOST,
                                                   "look-up", timeout=1.0).status for name in deployment.of("history")}
        memory.start()
        time.sleep(2)
        record("directory before:", answering())
        hung = set()
        for cycle in range(3):
            name = deployment.of("history")[cycle]
            # The turn expires shortly before this member deletes expired turns, which it does each 5 s.
            keep = 1.5 * RETENTION_S
            first = started[name] + keep + 4.7
            while first < time.monotonic() + keep + 0.5:
                first += 5
            sent_at = first - keep
            time.sleep(max(sent_at - time.monotonic(), 0))
            turn = "turn-%d" % cycle
            answer = standin.request(deployment.front(0), "POST", "/talk/x", turn, b"hello", fields_of("p%d" % cycle))
            record("TURN", turn, answer.status, "complete" if answer.complete else answer.error)
            time.sleep(max(first + 0.9 - time.monotonic(), 0))
            again = turn if standin.TROUBLE else turn + "-next"
            answer = standin.request(deployment.front(0), "POST", "/talk/x", again, b"go on",
                                     fields_of("p%d" % cycle, turn))
            record("TURN", again, "continues", turn, answer.status, "complete" if answer.complete else answer.error)
            time.sleep(1)
            states = answering()
            record("directory:", states)
            time.sleep(2)
            later = answering()
            record("directory:", later)
            hung = {n for n in states if states[n] == 0 and later[n] == 0}
            if len(hung) >= 2:
                break
        answer = standin.request(deployment.front(1), "POST", "/talk/x", "last", b"hello", fields_of("other-program"))
        record("TURN of another program:", answer.status, "complete" if answer.complete else answer.error)
        record("members that answer nothing any more:", sorted(hung), {n: deployment.processes[n].poll() for n in hung})
        return not hung
    finally:
        memory.stop()
        deployment.stop()


standin.main(run)

"""A program that loops without end, with a token budget. Exits with 1 if its turns are handed more tokens than the rule
BUDGET allows."""
import collections
import os
import sys
import time
import traceback

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common-2"))
from engine import Engine
from fleet import *

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RETENTION_S = 5.0
PAUSE_S = 0.5 if TROUBLE else 0.2  # From the start of a turn to the next one.
LOOP_S = 95 if TROUBLE else 45
TURN_TOKENS = 80  # The most that a turn generates: 8 events of 10 tokens (`stride`).
BUDGET = 140 * TURN_TOKENS


def main(record):
    fleet = Fleet(record, 64, cores=3, stores=3, fronts=2)
    try:
        return play(record, fleet)
    except Exception:
        record(traceback.format_exc())
        return 2
    finally:
        fleet.stop()


def play(record, fleet):
    engines = [Engine("127.64.3.%d" % (10 + i), "i-%d" % i, first_s=0.02, pause_s=0.005) for i in range(3)]
    for e in engines:
        fleet.platform.add(e.name, "engines", e.server.address, 16)
    fleet.start_all()
    document = config(1, [route("turns", "/turns/", "stream", "engines", 4000, retain=True, retentionS=RETENTION_S)],
                      [service("engines", ENGINE)])
    if fleet.operator("POST", "/-/config/put", document, total=15).status != 200 or not fleet.ready():
        record("the deployment doesn't start")
        return 2
    time.sleep(2)
    record("budget", BUDGET, "tokens, a turn of", TURN_TOKENS, "tokens each", PAUSE_S, "s, retentionS", RETENTION_S)
    begin, previous, status, handed, refused = time.monotonic(), None, collections.Counter(), 0, 0
    turn = 0
    while time.monotonic() - begin < LOOP_S and refused < 3:
        turn += 1
        rid = "turn-%d" % turn
        fields = {"X-Request-Id": rid, "X-Program-Id": "p-1", "X-Session-Id": "line-1", "X-Finish-Ms": "110000",
                  "X-Token-Budget": str(BUDGET), "X-Token-Count": "500,%d" % TURN_TOKENS, "X-Deadline-Ms": "4000",
                  "Authorization": "Bearer key-a"}
        if previous and turn % 20:  # Every 20th turn begins a new chain, so that the histories stay short.
            fields["X-Previous-Turn"] = previous
        answer = call(fleet.of["gateway"][turn % 2].listen["front"], "POST", "/turns/1", b"go on ", fields)
        status[answer.status] += 1
        handed += ENGINE["stride"] * answer.body.count(b"data:") if answer.status == 200 else 0
        previous = rid if answer.status == 200 and answer.whole else previous
        if answer.status == 402:
            refused += 1
            record("turn", turn, "is answered 402 after", handed, "tokens")
        if turn % 20 == 0:
            record(turn, "turns,", handed, "tokens handed out, statuses", dict(status))
        time.sleep(max(0, begin + turn * PAUSE_S - time.monotonic()))
    record(turn, "turns in %.0f s," % (time.monotonic() - begin), handed, "tokens handed out, statuses", dict(status))
    if not handed:
        return 2
    broken = handed > BUDGET + TURN_TOKENS
    record("BUDGET (%d tokens and one turn of %d):" % (BUDGET, TURN_TOKENS), "BROKEN" if broken else "held")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main(Record(FOLDER)))

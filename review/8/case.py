"""Three model replicas crash, one at a time. Programs go on with turns whose new input is the same few words, as people
and agents do. Exits with 1 if such turns reach no replica afterwards, as the rule LOST says."""
import collections
import os
import sys
import threading
import time
import traceback

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common-2"))
from engine import Engine
from fleet import *

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PROGRAMS = 24  # At once, before nine replicas with 16 slots each.
CRASHES = (4.0, 10.0, 16.0)  # Seconds after the start of traffic.
DOWN_S = 4.5
CONTACT_S = 3.0  # contactMs
MEASURE_S = 20.0
AIM_MS = 30000
TRIES = 6  # Two requester attempts, and a turn that has failed is sent again twice.
LOST_TRIES = 5  # RULES.md, LOST: "reaches no replica in five tries or more"


def main(record):
    fleet = Fleet(record, 66, cores=3, stores=3, fronts=2)
    try:
        return play(record, fleet)
    except Exception:
        record(traceback.format_exc())
        return 2
    finally:
        fleet.stop()


def play(record, fleet):
    engines = [Engine("127.66.3.%d" % (10 + i), "i-%d" % i, first_s=0.15, pause_s=0.04) for i in range(9)]
    for e in engines:
        fleet.platform.add(e.name, "engines", e.server.address, 16)
    fleet.start_all()
    document = config(1, [route("turns", "/turns/", "stream", "engines", 4000, retain=True)], [service("engines", ENGINE)])
    if fleet.operator("POST", "/-/config/put", document, total=15).status != 200 or not fleet.ready():
        record("the deployment doesn't start")
        return 2
    time.sleep(3)
    fronts = fleet.of["gateway"]
    start = time.monotonic()
    settled = start + CRASHES[-1] + DOWN_S + CONTACT_S
    end = settled + MEASURE_S
    number, lock, turns = itertools.count(1), threading.Lock(), []  # turns: (begin, has previous, tries, reached, status)

    def arrived(rid):
        return any(rid in e.arrived for e in engines)

    def turn(program, previous, body):
        """Sends a turn until it is answered whole. Returns its id, or None."""
        begin, reached, answer, rid = time.monotonic(), False, None, None
        for attempt in range(1, TRIES + 1):
            rid = "r-%d" % next(number)
            fields = {"X-Request-Id": rid, "X-Program-Id": program, "X-Session-Id": "line-" + program,
                      "X-Finish-Ms": str(AIM_MS), "X-Token-Budget": "100000", "X-Token-Count": "500,80",
                      "X-Deadline-Ms": "4000", "Authorization": "Bearer key-a"}
            if previous:
                fields["X-Previous-Turn"] = previous
            answer = call(fronts[next(number) % 2].listen["front"], "POST", "/turns/2f", body, fields, 4)
            reached = reached or arrived(rid)
            if answer.status == 200 and answer.whole:
                break
            if attempt < TRIES:
                time.sleep(min(float(answer.fields.get("retry-after", 0)), 4 / 3) + 0.2)
        with lock:
            turns.append((begin, previous is not None, attempt, reached, answer.status))
        return rid if answer.status == 200 and answer.whole else None

    def programs(k):
        time.sleep(k * 0.05)
        for n in itertools.count():
            if time.monotonic() > end:
                return
            program = "p-%d-%d" % (k, n)
            previous = turn(program, None, "draft a verse for card %s" % program)
            for _ in range(4):
                if previous is not None and time.monotonic() < end:
                    previous = turn(program, previous, "go on")
                    time.sleep(0.1)

    threads = [threading.Thread(target=programs, args=(k,)) for k in range(PROGRAMS)]
    for t in threads:
        t.start()
    if TROUBLE:
        sound = list(engines)  # Those that have not crashed yet.
        for at in CRASHES:
            time.sleep(max(0, start + at - time.monotonic()))
            busiest = max(sound, key=lambda e: sum(time.monotonic() - t < 0.4 for t in list(e.arrived.values())))
            record("replica", busiest.name, "crashes, and is back after %.1f s" % DOWN_S)
            busiest.crash(DOWN_S)
            sound.remove(busiest)
    for t in threads:
        t.join()

    def summary(begin, until, has_previous):
        chosen = [t for t in turns if begin <= t[0] < until and t[1] == has_previous]
        return "%d turns, %d reached a replica, last statuses %s" % (
            len(chosen), sum(t[3] for t in chosen), dict(collections.Counter(t[4] for t in chosen)))

    record("before the first crash: first turns:", summary(start, start + CRASHES[0], False))
    record("before the first crash: later turns:", summary(start, start + CRASHES[0], True))
    record("from contactMs after the last disturbance: first turns:", summary(settled, end, False))
    record("from contactMs after the last disturbance: later turns:", summary(settled, end, True))
    late = [t for t in turns if t[0] >= settled]
    first = [t for t in late if not t[1]]
    lost = [t for t in late if t[1] and not t[3] and t[2] >= LOST_TRIES]
    full = max((sum(1 for x in e.runs.values() for r in x if settled <= r[0]) for e in engines), default=0)
    record("turns begun at the busiest replica in that time:", full, "- it has 16 slots, and a turn takes 0.5 s")
    record("later turns that reached no replica in %d tries or more:" % LOST_TRIES, len(lost))
    if not first:
        return 2
    excused = sum(t[3] for t in first) < 0.9 * len(first)
    broken = bool(lost) and not excused
    record("LOST (a kept turn's successor reaches no replica, though nine tenths of first turns do):",
           "BROKEN" if broken else "held")
    return 1 if broken else 0


if __name__ == "__main__":
    code = main(Record(FOLDER))
    sys.stdout.flush()
    os._exit(code)

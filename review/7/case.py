"""Hundreds of changes of a config with many routes. The platform gives each core machine 256 MB of memory and 128 MB of
disk. Exits with 1 if core processes end by themselves as the rule Fault says, or if the config can't be read back."""
import glob
import os
import resource
import signal
import sys
import time
import traceback

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common-2"))
from fleet import *

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CHANGES = 400 if TROUBLE else 60
ROUTES = 4 * 414
DISK_MB = 128
PUT_S = 60  # No change is sent later than this.
READ_S = 15  # The config is read back for so long.
ENDS = 3  # RULES.md, Fault: "processes end by themselves three times in the day".


def limit_disk():
    """The log of a core machine is one file, so its disk bounds the size of that file. A write beyond it fails."""
    signal.signal(signal.SIGXFSZ, signal.SIG_IGN)
    resource.setrlimit(resource.RLIMIT_FSIZE, (DISK_MB << 20, DISK_MB << 20))


def main(record):
    fleet = Fleet(record, 62, cores=3, stores=3, fronts=2)
    try:
        return play(record, fleet)
    except Exception:
        record(traceback.format_exc())
        return 2
    finally:
        fleet.stop()


def play(record, fleet):
    cores = fleet.of["control"]
    fleet.before_start["control"] = limit_disk
    fleet.start_all()
    services = [service("engines", ENGINE), service("app")]
    base = [route("turns", "/turns/", "stream", "engines", 4000, retain=True)]
    many = [route("r-%06d" % i, "/extra%06d/" % i, "safe", "app", 1200) for i in range(ROUTES)]

    def state():
        disk = {m.name: sum(os.path.getsize(p) for p in glob.glob(m.data + "/*")) >> 20 for m in cores}
        return "disk MB %s, most memory MB %s" % (list(disk.values()), [m.peak_kb >> 10 for m in cores])

    first = fleet.operator("POST", "/-/config/put", config(1, base, services), total=15)
    if first.status != 200 or not fleet.ready():
        record("the deployment doesn't start")
        return 2
    record("config 1 acknowledged; each later one has", ROUTES + 1, "routes and",
           len(config(2, base + many, services)), "bytes")
    begin, acked, calls = time.monotonic(), 1, 0
    for version in range(2, 2 + CHANGES):
        if time.monotonic() - begin > PUT_S or max(m.ended_by_itself for m in cores) >= ENDS:
            break
        a = fleet.operator("POST", "/-/config/put", config(version, base + many, services), total=6)
        calls += 1
        if a.status == 200:
            acked = version
        else:
            record("config", version, "isn't acknowledged in 6 s, the last status is", a.status)
        if version % 25 == 0:
            record("config", version, "sent;", state())
    record(calls, "changes sent, the newest acknowledged one is", acked, "-", state())
    time.sleep(1)
    begin, read = time.monotonic(), None
    while time.monotonic() - begin < READ_S:
        a = fleet.operator("GET", "/-/config/get", total=2)
        if a.status == 200:
            read = json.loads(a.body)["version"]
            if read >= acked and time.monotonic() - begin > 3:
                break
        time.sleep(0.2)
    record("read back:", read, "-", state())
    ends = {m.name: m.ended_by_itself for m in cores}
    record("core processes ended by themselves:", ends)
    fault = 2 * sum(n >= ENDS for n in ends.values()) >= len(cores)
    lost = read is None or read < acked
    record("Fault (half of the core ended by itself three times):", "BROKEN" if fault else "held")
    record("CONFIG (read back):", "BROKEN" if lost else "held")
    return 1 if fault or lost else 0


if __name__ == "__main__":
    sys.exit(main(Record(FOLDER)))

"""Ends processes that use more than their memory, and starts them again after a short delay, as the platform does."""
import threading
import time


def memory_mb(pid):
    """Anonymous memory of a process; pages of files, such as its program, are left out."""
    try:
        with open("/proc/%d/status" % pid) as f:
            for line in f:
                if line.startswith("RssAnon:"):
                    return int(line.split()[1]) / 1024
    except OSError:
        pass
    return 0


class MemoryLimit:
    def __init__(self, deployment, limits_mb, record, restart_s=0.5):
        self.deployment, self.limits, self.record, self.restart_s = deployment, limits_mb, record, restart_s
        self.ends, self.peaks, self.back = {}, {}, {}
        self.over = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)

    def start(self):
        self.thread.start()

    def stop(self):
        self.over.set()
        if self.thread.is_alive():
            self.thread.join()

    def run(self):
        while not self.over.is_set():
            for name, machine in self.deployment.machines.items():
                if name in self.back:
                    if time.monotonic() >= self.back[name]:
                        del self.back[name]
                        self.deployment.start(name)
                    continue
                process = self.deployment.processes[name]
                used = memory_mb(process.pid)
                self.peaks[name] = max(self.peaks.get(name, 0), used)
                ended = process.poll() is not None
                limit = self.limits[machine["role"]]
                if not ended and used > limit:
                    self.record("OVER", name, "uses %.0f MB of %d and is killed" % (used, limit))
                    self.deployment.kill(name)
                    ended = True
                elif ended:
                    self.record("ENDED", name, "by itself, exit", process.returncode)
                if ended:
                    self.ends[name] = self.ends.get(name, 0) + 1
                    self.back[name] = time.monotonic() + self.restart_s
            time.sleep(0.005)

    def machines_that_ended(self, times):
        return [name for name, count in self.ends.items() if count >= times]

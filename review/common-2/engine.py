"""A stand-in for a model replica: a sound one, with slots, a queue and a limit of memory."""
import threading
import time

from fleet import Reader, Server, read_message, socket


class Engine:
    """Runs streams of `events` events, the first after `first_s`, then one each `pause_s`. `runs` lists what it began."""

    def __init__(self, ip, name, slots=16, queue=48, events=8, first_s=0.2, pause_s=0.05, tokens=122817):
        self.name, self.events, self.first_s, self.pause_s, self.tokens = name, events, first_s, pause_s, tokens
        self.running, self.places = threading.Semaphore(slots), threading.Semaphore(slots + queue)
        self.lock, self.runs, self.arrived = threading.Lock(), {}, {}
        self.channels = set()
        self.server = Server(ip, self.serve)

    def crash(self, back_s):
        """Resets all channels and takes no new ones for back_s."""
        ip, port = self.server.address.rsplit(":", 1)
        self.server.listener.shutdown(socket.SHUT_RDWR)
        self.server.listener.close()
        with self.lock:
            channels, self.channels = self.channels, set()
        for s in channels:
            reset(s)

        def back():
            self.server = Server(ip, self.serve, int(port))
        threading.Timer(back_s, back).start()

    def reject(self, s, status, rid):
        s.sendall(("HTTP/1.1 %s\r\nX-Not-Executed: 1\r\nX-Request-Id: %s\r\nContent-Length: 0\r\n\r\n" % (status, rid)).encode())

    def serve(self, s):
        with self.lock:
            self.channels.add(s)
        reader = Reader(s)
        while True:
            first, fields, body = read_message(reader)
            rid = fields.get("x-request-id", "")
            if first.startswith("GET /health"):
                s.sendall(("HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n" % self.name).encode())
            elif fields.get("x-expected-instance", self.name) != self.name:
                self.reject(s, "421 Misdirected Request", rid)
            elif int(fields.get("x-token-count", "0,0").split(",")[0]) > self.tokens or not self.places.acquire(blocking=False):
                self.reject(s, "503 Service Unavailable", rid)
            else:
                try:
                    with self.lock:
                        self.arrived[rid] = time.monotonic()
                    with self.running:
                        self.stream(s, rid, fields, body)
                finally:
                    self.places.release()

    def stream(self, s, rid, fields, body):
        with self.lock:
            self.runs.setdefault(rid, []).append((time.monotonic(), body))
        time.sleep(self.first_s)
        s.sendall(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: %s\r\n"
                   "X-Response-Signature: sig-%s\r\nTransfer-Encoding: chunked\r\n\r\n" % (rid, rid)).encode())
        for i in range(self.events):
            if i:
                time.sleep(self.pause_s)
            event = b"id: %d\ndata: piece %d of %s\n\n" % (i + 1, i + 1, rid.encode())
            s.sendall(b"%x\r\n%s\r\n" % (len(event), event))
        s.sendall(b"0\r\n\r\n")


def reset(s):
    """Ends a channel as the end of its process does."""
    try:
        s.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        s.shutdown(socket.SHUT_RDWR)
        s.close()
    except OSError:
        pass

"""A sound upstream, with its status reports, as the platform's pages say."""
import http.client
import http.server
import json
import threading
import time

from rig import APP_PORT, CONTROL_PORT, call

BEAT_S = 1.5


class Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 512

    def handle_error(self, *_):
        """A caller may leave before the answer."""


class Target:
    def __init__(self, rig, machine, service, slots=36, work_s=0.05, answer=None):
        self.rig, self.machine, self.service = rig, machine, service
        self.slots, self.work_s, self.answer = slots, work_s, answer
        self.id = f"i-{machine.ip.replace('.', '-')}-{int(time.time() * 1000) % 100000}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.is_reporting = True
        self.runs = []
        self.free = threading.Semaphore(slots)
        self.lock = threading.Lock()
        handler = type("Handler", (Handler,), {"target": self})
        self.server = Server((machine.ip, APP_PORT), handler)
        rig.targets.append(self)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        threading.Thread(target=self.report_always, daemon=True).start()

    def report(self):
        with self.lock:
            self.sequence += 1
            body = json.dumps({
                "service": self.service, "address": f"{self.machine.ip}:{APP_PORT}",
                "zone": self.machine.zone, "version": "v1", "slots": self.slots,
                "state": self.state, "cold_remaining_ms": 0, "sequence": self.sequence,
                "born": self.born})
        return call(self.machine.ip, CONTROL_PORT, "PUT", f"/hemlockpoint/instances/{self.id}",
                    {"Content-Type": "application/json"}, body.encode(), 1)[0]

    def report_always(self):
        while self.is_reporting:
            self.report()
            time.sleep(BEAT_S)

    def close(self):
        self.is_reporting = False
        self.server.shutdown()
        self.server.server_close()


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    target = None

    def read_body(self):
        if "chunked" not in self.headers.get("Transfer-Encoding", ""):
            left = int(self.headers.get("Content-Length", 0))
            size = 0
            while size < left:
                part = self.rfile.read(min(65536, left - size))
                if not part:
                    raise ConnectionError("the body broke off")
                size += len(part)
            return size
        size = 0
        while True:
            length = int(self.rfile.readline().split(b";")[0], 16)
            size += len(self.rfile.read(length))
            self.rfile.readline()
            if length == 0:
                return size

    def serve(self):
        target = self.target
        if self.path == "/healthz":
            self.reply(200 if target.state == "ready" else 503, b"", {"X-Instance-Id": target.id})
            return
        size = self.read_body()
        request = self.headers.get("X-Request-Id", "")
        if not request:
            self.reply(400, b"", {"X-Not-Executed": "1"})
            return
        if self.headers.get("X-Expect-Instance", target.id) != target.id:
            self.reply(421, b"", {"X-Request-Id": request, "X-Not-Executed": "1"})
            return
        if not target.free.acquire(timeout=int(self.headers.get("X-Deadline-Ms", 5000)) / 1000):
            self.reply(503, b"", {"X-Request-Id": request, "X-Not-Executed": "1"})
            return
        try:
            target.runs.append((target.rig.now(), request))
            target.rig.note(f"{target.id} runs {request} ({size} bytes)")
            time.sleep(target.work_s)
        finally:
            target.free.release()
        body = target.answer or f"answer to {request}".encode()
        self.reply(200, body, {"X-Request-Id": request, "X-Server-Seal": f"{len(body)}.{size}"})

    def reply(self, status, body, fields):
        self.send_response(status)
        for name, value in fields.items():
            self.send_header(name, value)
        self.send_header("X-Server-Load", f"0,0,{self.target.slots}")
        self.send_header("Keep-Alive", "timeout=10")
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    do_GET = do_POST = do_PUT = serve

    def log_message(self, *_):
        pass

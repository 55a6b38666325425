"""A control host, an entry node and nodes with targets, as processes."""
import argparse
import http.client
import http.server
import os
import sys
import tempfile
import threading
import time
import unittest

from daemon import Daemon

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "..", "platform"))
from standin import wire  # noqa: E402 - needs the path above

HOST = "system.example"
READY_S = 15
DEADLINE_MS = 8000

COMMON = """[node]
name = "{name}"
group = "system"
region = "r"
failure_domain = "{name}"
roles = ["{role}"]
serves = "routes"
[listen]
peer = "{{ip}}:7001"
admin = "{{ip}}:7002"
outside = "{{ip}}:7005"
"""
CONTROL = COMMON.format(name="c1", role="control") + """[control]
seeds = ["{ip}:7005"]
form_group = true
losses_borne = 0
data_folder = "{folder}"
"""
NODE = """http = "{{ip}}:7003"
ready = "{{ip}}:7004"
[target]
endpoint = "{{ip}}:7006"
service = "{service}"
[control]
seeds = ["{control}:7005"]
"""


class Target(http.server.ThreadingHTTPServer):
    """A target that works on each request for `work_s`, and answers with `body`. Reports to the
    node beside it."""

    daemon_threads = True

    def __init__(self, address, service, work_s, body):
        super().__init__((address, 7006), TargetHandler)
        self.service = service
        self.work_s = work_s
        self.body = body
        self.public = f"{address}:7006"
        self.domain = address
        self.node = address
        self.slots = 8
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.instance = f"i-{address}"
        self.runs = []
        self.is_closed = False
        threading.Thread(target=self.serve_forever, daemon=True).start()
        threading.Thread(target=self.send_reports, daemon=True).start()

    def send_reports(self):
        while not self.is_closed:
            self.sequence += 1
            try:
                call(self.node, 7005, "PUT", wire.report_path(self.instance),
                     {"Content-Type": "application/json"}, wire.report(self, "ready"))
            except (OSError, http.client.HTTPException):
                pass
            time.sleep(0.5)

    def end(self):
        self.is_closed = True
        self.shutdown()
        self.server_close()

    def handle_error(self, *_):
        """Callers may leave before the answer."""


class TargetHandler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def do_GET(self):
        self.rfile.read(int(self.headers.get("Content-Length", 0)))
        if self.path != wire.HEALTH_PATH:
            self.server.runs.append(self.headers[wire.REQUEST_ID])
            time.sleep(self.server.work_s)
        self.send_response(200)
        self.send_header(wire.INSTANCE, self.server.instance)
        self.send_header(wire.REQUEST_ID, self.headers.get(wire.REQUEST_ID, ""))
        self.send_header(wire.PROOF, "proof")
        self.send_header("Content-Length", str(len(self.server.body)))
        self.end_headers()
        self.wfile.write(self.server.body)

    do_POST = do_GET

    def log_message(self, *_):
        pass


def call(address, port, method, path, fields, body=""):
    """Sends a request. Returns the status and the body of the response."""
    connection = http.client.HTTPConnection(address, port, timeout=DEADLINE_MS / 1000 + 2)
    try:
        connection.request(method, path, body, fields)
        response = connection.getresponse()
        return response.status, response.read().decode()
    finally:
        connection.close()


class SystemTest(unittest.TestCase):
    """A test that runs the whole system. The path of the daemon's program is set by main()."""

    binary = ""

    def start_system(self, first, targets, work_s, body=b"done"):
        """Starts a control host, an entry node and nodes with targets, until requests can be
        served, at addresses from `first` on."""
        prefix, number = first.rsplit(".", 1)
        self.control, self.entry = first, f"{prefix}.{int(number) + 1}"
        self.targets = []
        self.daemons = {}
        data = os.path.join(self.make_folder(), "data")
        os.mkdir(data)
        self.start_daemon(self.control, CONTROL.replace("{folder}", data))
        self.start_node(self.entry, "gate")
        for index in range(targets):
            address = f"{prefix}.{int(number) + 2 + index}"
            self.start_node(address, "stock")
            self.targets.append(Target(address, "stock", work_s, body))
            self.addCleanup(self.targets[-1].end)
        routes = [wire.route(kind, HOST, f"/{kind}/", kind, "stock", 1, DEADLINE_MS)
                  for kind in ("safe", "unsafe")]
        document = wire.document(1, routes, ["stock"])
        self.await_true(lambda: call(self.control, 7005, "PUT", wire.DOCUMENT_PATH,
                                     {"If-Match": wire.version_text(0)}, document)[0] == 200)
        self.await_true(lambda: call(self.entry, 7004, "GET", wire.READY_PATH, {})[0] == 200)
        self.await_true(lambda: all("event=target_known" in self.daemons[t.node].log()
                                    for t in self.targets))
        time.sleep(1)

    def make_folder(self):
        folder = tempfile.TemporaryDirectory(prefix="hemlockpoint-system-")
        self.addCleanup(folder.cleanup)
        return folder.name

    def start_daemon(self, address, settings):
        daemon = Daemon(self.binary, settings, address)
        self.addCleanup(daemon.close)
        daemon.start()
        self.daemons[address] = daemon

    def start_node(self, address, service):
        name = "n" + address.rsplit(".", 1)[1]
        settings = (COMMON + NODE).format(name=name, role="node", service=service,
                                          control=self.control)
        self.start_daemon(address, settings)

    def await_true(self, condition):
        deadline = time.monotonic() + READY_S
        while time.monotonic() < deadline:
            try:
                if condition():
                    return
            except (OSError, http.client.HTTPException):
                pass
            time.sleep(0.05)
        self.fail("\n".join(daemon.log()[-2000:] for daemon in self.daemons.values()))


def main(description):
    """Runs the tests of the calling script."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--build", required=True)
    arguments, rest = parser.parse_known_args()
    SystemTest.binary = os.path.join(arguments.build, "src", "hemlockpointd", "hemlockpointd")
    unittest.main(argv=sys.argv[:1] + rest)

"""Runs the project's programs as processes on loopback addresses, the way the deploy file says.

Stand-ins for the platform, the operator, targets (upstreams) and clients follow the platform's
pages. Only processes that a rig has started are signalled, by their ids.
"""
import http.client
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
CONTROL_PORT, OUTBOUND_PORT, READY_PORT, APP_PORT = 8306, 8304, 8302, 8301
INTERNAL_PORTS = [7620, 7635]
BOUNDS = {"seed_lag_s": 3, "addr_reuse_s": 2, "settle_window_ms": 3000, "ack_ms": 4000,
          "catch_up_s": 4, "drain_ms": 2000, "grace_s": 6, "lost_slack_ms": 200,
          "config_apply_ms": 2000, "rollback_slack_ms": 250, "outer_ms": 5000,
          "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 50, "recovery_s": 15}
HOST = "hulo84.example"


class CannotRun(Exception):
    """The case could not be tried."""


def lookup(scopes, name):
    if name == ".":
        return scopes[-1]
    for scope in reversed(scopes):
        value = scope
        for part in name.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            else:
                break
        else:
            return value
    return None


def to_text(value):
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(to_text(entry) for entry in value)
    return json.dumps(value) if isinstance(value, dict) else str(value)


def render(template, scopes):
    """Fills in a template of the deploy file."""
    section = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.S)

    def expand(match):
        value = lookup(scopes, match.group(1))
        if value is None or value is False:
            return ""
        if not isinstance(value, list):
            return render(match.group(2), scopes + [value])
        parts = []
        for index, entry in enumerate(value):
            text = match.group(2).replace("{{,}}", "," if index + 1 < len(value) else "")
            parts.append(render(text, scopes + [entry]))
        return "".join(parts)

    text = section.sub(expand, template)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: to_text(lookup(scopes, match.group(1))), text)


def role_of(name):
    """Returns the command and the template of a role in the deploy file."""
    with open(os.path.join(ROOT, "deploy", "system.toml")) as file:
        text = file.read()
    part = text.split(f"[roles.{name}]")[1].split("[roles.")[0]
    run = re.search(r'^run = "(.*)"', part, re.M).group(1).split()
    template = re.search(r'^template = "(.*)"', part, re.M).group(1)
    with open(os.path.join(ROOT, template)) as file:
        return run, file.read()


def free_block():
    """Returns a /24 of loopback addresses at which all ports of the cases' machines are free."""
    number = os.getpid()
    for attempt in range(60):
        prefix = f"127.{60 + (number // 250 + attempt) % 60}.{1 + number % 250}"
        try:
            for host in (11, 12, 13, 21, 22):
                for port in (CONTROL_PORT, OUTBOUND_PORT, READY_PORT, APP_PORT, *INTERNAL_PORTS):
                    with socket.socket() as probe:
                        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                        probe.bind((f"{prefix}.{host}", port))
            return prefix
        except OSError:
            continue
    raise CannotRun("no free loopback addresses")


class Machine:
    """A machine of the platform with one process of the system."""

    def __init__(self, rig, role, number, zone, service=""):
        self.rig, self.role, self.zone, self.service = rig, role, zone, service
        self.name = f"{'core' if role == 'control' else 'sidecar'}-{zone}-{number}"
        self.ip = f"{rig.prefix}.{number}"
        self.process = None
        self.starts = 0
        self.bootstrap = True
        self.data = os.path.join(rig.folder, self.name, "data")
        os.makedirs(self.data)

    def settings(self, seeds):
        is_control = self.role == "control"
        listen = {"control": f"{self.ip}:{CONTROL_PORT}"}
        if not is_control:
            listen.update(outbound=f"{self.ip}:{OUTBOUND_PORT}", ready=f"{self.ip}:{READY_PORT}")
        return {"node_name": self.name, "ip": self.ip, "zone": self.zone, "region": "r",
                "listen": listen, "internal_ports": INTERNAL_PORTS, "seeds": seeds,
                "bootstrap": self.bootstrap, "data_dir": self.data if is_control else None,
                "fault_tolerance": {"machines": 1, "zones": 0, "regions": 0}, "bounds": BOUNDS,
                "app_addr": f"{self.ip}:{APP_PORT}", "service": self.service}

    def start(self, seeds=None):
        run, template = role_of(self.role)
        path = os.path.join(self.rig.folder, self.name, "local.toml")
        with open(path, "w") as file:
            file.write(render(template, [self.settings(seeds or self.rig.seeds)]))
        command = [os.path.join(ROOT, run[0])] + [path if word == "/etc/hemlockpoint/local.json"
                                                  else word for word in run[1:]]
        if not os.access(command[0], os.X_OK):
            raise CannotRun(f"{run[0]} isn't built")
        with open(os.path.join(self.rig.folder, f"{self.name}.log"), "a") as log:
            self.process = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=log,
                                            env={"PATH": os.environ.get("PATH", ""),
                                                 "HEMLOCKPOINT_SETTINGS": path})
        self.starts += 1
        self.rig.note(f"{self.name} started (bootstrap {to_text(self.bootstrap)})")

    def send_signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)
            self.rig.note(f"{self.name} gets {signal.Signals(number).name}")

    def kill(self):
        self.send_signal(signal.SIGKILL)
        if self.process:
            self.process.wait()

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def rss_mb(self):
        try:
            with open(f"/proc/{self.process.pid}/status") as file:
                return int(re.search(r"VmRSS:\s+(\d+)", file.read()).group(1)) / 1024
        except (OSError, AttributeError):
            return 0.0


class Rig:
    def __init__(self, record_path):
        self.started_at = time.monotonic()
        self.folder = tempfile.mkdtemp(prefix="hemlockpoint-review-")
        self.prefix = free_block()
        self.machines, self.seeds, self.targets = [], [], []
        self.record = open(record_path, "w")
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.started_at

    def note(self, text):
        with self.lock:
            self.record.write(f"{self.now():9.3f} s  {text}\n")
            self.record.flush()

    def add(self, role, number, zone, service=""):
        machine = Machine(self, role, number, zone, service)
        self.machines.append(machine)
        return machine

    def close(self):
        for target in self.targets:
            target.close()
        for machine in self.machines:
            if machine.process and machine.process.poll() is None:
                machine.process.kill()
            if machine.process:
                machine.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


def call(ip, port, method, path, fields=None, body=b"", timeout=4):
    """Returns status, header fields and body; status None without a whole answer."""
    connection = http.client.HTTPConnection(ip, port, timeout=timeout)
    try:
        connection.request(method, path, body, fields or {})
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read()
    except (OSError, http.client.HTTPException) as error:
        return None, {}, str(error).encode()
    finally:
        connection.close()


def operator_call(ips, method, body=b"", base=0, timeout=1.0):
    """Sends an order to nodes that serve control, and follows a 307 twice."""
    status, content = None, b""
    for ip in ips:
        address = ip
        for _ in range(3):
            status, fields, content = call(address, CONTROL_PORT, method, "/hemlockpoint/config",
                                           {"If-Match": f"{base:08x}",
                                            "Content-Type": "application/json"}, body, timeout)
            if status != 307:
                break
            address = fields["Location"].split("/")[2].split(":")[0]
        if status is not None and status < 500 and status not in (307, 408, 429):
            return status, content
    return status, content


def make_config(version, routes, services, max_connections=316):
    return json.dumps({
        "version": f"{version:08x}", "routes": routes,
        "services": [{"name": name, "health_path": "/healthz", "max_connections": max_connections,
                      "protocol": "h1", "tls": False} for name in services],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}).encode()


def make_route(name, prefix, kind, service, timeout_ms=5000, attempts=2, priority=0):
    return {"name": name, "hostname": HOST, "path_prefix": prefix, "kind": kind,
            "timeout_ms": timeout_ms, "target_latency_ms": 2000, "priority": priority,
            "service": service, "max_attempts": attempts}

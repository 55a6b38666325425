"""A small deployment on loopback addresses: the project's programs, started with the commands
and templates of the deploy file, and stand-ins for upstreams, clients and the operator."""
import asyncio
import json
import logging
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import zlib

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
# Fields of the settings that the stand-in platform hands out, as on the users' pages.
BOUNDS = {"seed_lag_s": 3, "addr_reuse_s": 2, "settle_window_ms": 3000, "ack_ms": 4000,
          "catch_up_s": 4, "drain_ms": 2000, "grace_s": 6, "lost_slack_ms": 200,
          "config_apply_ms": 2000, "rollback_slack_ms": 250, "outer_ms": 5000,
          "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 50, "recovery_s": 15}
PORTS = {"app": 8301, "ready": 8302, "outbound": 8304, "control": 8306, "peer": 7620,
         "metrics": 7635}
LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000,
          "idle_timeout_ms": 15000}


class Broken(Exception):
    """A connection failed or carried no valid message."""


def fill(template, fields):
    """Fills in a template of the deploy file: sections, then placeholders."""
    def lookup(name, scope):
        value = scope
        for part in name.split("."):
            if isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            elif isinstance(value, dict) and part in value:
                value = value[part]
            else:
                return None
        return value

    def text_of(value):
        if value is None:
            return ""
        if isinstance(value, bool):
            return str(value).lower()
        return ",".join(map(str, value)) if isinstance(value, list) else str(value)

    def section(match):
        value, body = lookup(match[1], fields), match[2]
        if isinstance(value, list):
            last = len(value) - 1
            return "".join(body.replace("{{.}}", str(entry)).replace(
                "{{,}}", "," if index < last else "") for index, entry in enumerate(value))
        return body if value not in (None, False) else ""
    template = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: text_of(lookup(match[1], fields)), template)


async def read_head(reader):
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError) as error:
        if isinstance(error, asyncio.IncompleteReadError) and not error.partial:
            return None
        raise Broken(f"head cut: {error}") from error
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    try:
        if "chunked" in fields.get("transfer-encoding", "").lower():
            parts = []
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                part = await reader.readexactly(size + 2)
                if size == 0:
                    return b"".join(parts)
                parts.append(part[:-2])
        return await reader.readexactly(int(fields.get("content-length", 0)))
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError, ValueError) as error:
        raise Broken(f"body cut: {error}") from error


def encode(start_line, fields, body=b"", length=None):
    lines = [start_line] + [f"{name}: {value}" for name, value in fields.items()]
    if length != "none":
        lines.append(f"Content-Length: {len(body) if length is None else length}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def connect(address, **options):
    host, port = address.rsplit(":", 1)
    try:
        return await asyncio.open_connection(host, int(port), **options)
    except OSError as error:
        raise Broken(str(error)) from error


async def call(address, method, path, fields=None, body=b"", timeout=2.0):
    """One request on a new connection. Returns status, fields and body."""
    async def exchange():
        reader, writer = await connect(address)
        try:
            writer.write(encode(f"{method} {path} HTTP/1.1",
                                {"Host": address, "Connection": "close", **(fields or {})}, body))
            while True:
                head = await read_head(reader)
                if head is None:
                    raise Broken("closed without an answer")
                status = int(head[0].split()[1])
                if status >= 200:
                    return status, head[1], await read_body(reader, head[1])
        except OSError as error:
            raise Broken(str(error)) from error
        finally:
            writer.transport.abort()
    try:
        return await asyncio.wait_for(exchange(), timeout)
    except asyncio.TimeoutError as error:
        raise Broken("no answer in time") from error


class Machine:
    """A machine with one process of the system."""

    def __init__(self, site, name, role, ip, service=""):
        self.site, self.name, self.role, self.ip, self.service = site, name, role, ip, service
        self.process = None
        self.is_end_expected = True
        self.bootstrap = True
        self.data_dir = os.path.join(site.folder, name + ".data")

    def address(self, port):
        return f"{self.ip}:{PORTS[port]}"

    def settings(self):
        is_core = self.role == "control"
        return {"node_name": self.name, "ip": self.ip, "zone": f"zone-{self.ip.split('.')[2]}",
                "region": "here", "listen": {"outbound": self.address("outbound"),
                                             "ready": self.address("ready"),
                                             "control": self.address("control")},
                "internal_ports": [PORTS["peer"], PORTS["metrics"]],
                "seeds": self.site.seeds, "bootstrap": self.bootstrap,
                "data_dir": self.data_dir if is_core else None,
                "fault_tolerance": {"machines": 1, "zones": 0, "regions": 0},
                "bounds": BOUNDS, "app_addr": self.address("app"), "service": self.service}

    async def start(self):
        role = self.site.deploy["roles"][self.role]
        path = os.path.join(self.site.folder, self.name + ".settings")
        with open(os.path.join(ROOT, role["template"])) as file:
            text = fill(file.read(), self.settings())
        with open(path, "w") as file:
            file.write(text)
        words = [path if word == "/etc/hemlockpoint/local.json" else word
                 for word in role["run"].split()]
        words[0] = os.path.join(ROOT, words[0])
        self.log = open(os.path.join(self.site.folder, self.name + ".log"), "a")
        self.process = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, stdout=self.log, stderr=self.log, stdin=asyncio.subprocess.DEVNULL,
            env={"PATH": os.environ.get("PATH", ""), "HOME": self.site.folder,
                 "HEMLOCKPOINT_SETTINGS": path})
        self.is_end_expected = False
        self.bootstrap = False
        self.site.note(f"{self.name} started")

    def is_alive(self):
        return self.process is not None and self.process.returncode is None

    def send_signal(self, number):
        if self.is_alive():
            self.process.send_signal(number)

    async def kill(self):
        self.is_end_expected = True
        self.send_signal(signal.SIGKILL)
        await self.process.wait()
        self.site.note(f"{self.name} killed")

    def memory_kib(self):
        """Returns the resident memory of the process."""
        try:
            with open(f"/proc/{self.process.pid}/status") as file:
                for line in file:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1])
        except OSError:
            pass
        return 0


class Upstream:
    """A sound upstream beside a node. `work` is called for each request that begins to run and
    returns (status, fields, body), "sent" if it has written its answer itself, or None to close
    the connection."""

    def __init__(self, site, machine, slots=36, work=None):
        self.site, self.machine, self.slots = site, machine, slots
        self.work = work or self.default_work
        self.running = 0
        self.sequence = 0
        self.born = 0
        self.instance = ""
        self.state = "ready"
        self.server = self.reports = None
        self.writers = set()

    async def default_work(self, request):
        await asyncio.sleep(0.02)
        return 200, {}, b"ok " + request["id"].encode()

    async def start(self):
        self.born = max(self.born + 1, int(time.time() * 1000))
        self.instance = f"i-{self.machine.name}-{self.born % 100000}"
        self.sequence, self.state = 0, "ready"
        host, port = self.machine.address("app").rsplit(":", 1)
        self.server = await asyncio.start_server(self.serve, host, int(port), backlog=1024)
        self.reports = asyncio.create_task(self.send_reports())

    async def report(self, method="PUT"):
        self.sequence += 1
        body = {"born": self.born}
        if method == "PUT":
            body.update({"service": self.machine.service, "address": self.machine.address("app"),
                         "zone": "zone", "version": "v1", "slots": self.slots,
                         "state": self.state, "cold_remaining_ms": 0, "sequence": self.sequence})
        return await call(self.machine.address("control"), method,
                          f"/hemlockpoint/instances/{self.instance}",
                          {"Content-Type": "application/json"}, json.dumps(body).encode(), 1.0)

    async def send_reports(self):
        while True:
            try:
                await self.report()
            except Broken:
                pass
            await asyncio.sleep(1.5)

    def load(self):
        return f"{self.running},0,{self.slots},100"

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                method, path, _ = head[0].split(" ")
                if path == "/healthz":
                    status = "200 OK" if self.state == "ready" else "503 Leaving"
                    writer.write(encode(f"HTTP/1.1 {status}", {"X-Instance-Id": self.instance,
                                                               "X-Server-Load": self.load()}))
                    continue
                fields = head[1]
                body = await read_body(reader, fields)
                request = {"id": fields.get("x-request-id", ""), "method": method, "path": path,
                           "fields": fields, "body": body, "writer": writer, "upstream": self}
                common = {"X-Request-Id": request["id"], "Keep-Alive": "timeout=10"}
                if fields.get("x-expect-instance") not in (None, self.instance):
                    self.site.note(f"{self.machine.name} rejects {request['id']} with 421")
                    writer.write(encode("HTTP/1.1 421 Misdirected",
                                        {**common, "X-Not-Executed": "1"}))
                    continue
                if self.running >= self.slots:
                    writer.write(encode("HTTP/1.1 503 Full", {
                        **common, "X-Not-Executed": "1", "X-Server-Load": self.load()}))
                    continue
                self.site.on_run(self, request)
                self.running += 1
                try:
                    answer = await self.work(request)
                finally:
                    self.running -= 1
                if answer is None:
                    break
                if answer == "sent":
                    continue
                status, more, text = answer
                seal = f"{zlib.crc32(request['id'].encode()):x}.{len(text)}"
                writer.write(encode(f"HTTP/1.1 {status} Answer", {
                    **common, "X-Server-Seal": seal, "X-Server-Load": self.load(), **more}, text))
                await writer.drain()
        except (Broken, OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self):
        if self.reports:
            self.reports.cancel()
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Site:
    """`nodes` is a list of services, one for each node; there are three control hosts."""

    def __init__(self, record, nodes, slots=36, work=None):
        self.record = open(record, "w")
        self.began = time.monotonic()
        self.folder = tempfile.mkdtemp(prefix="review-")
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.deploy = tomllib.load(file)
        self.prefix = self.free_prefix()
        self.controls = [Machine(self, f"core-{i}", "control", f"{self.prefix}.{i}.1")
                         for i in (1, 2, 3)]
        self.nodes = [Machine(self, f"side-{i}", "node", f"{self.prefix}.{(i % 3) + 1}.{10 + i}",
                              service) for i, service in enumerate(nodes)]
        self.seeds = [machine.address("control") for machine in self.controls]
        self.upstreams = [Upstream(self, node, slots, work) for node in self.nodes]
        self.runs = {}
        self.version = 0
        self.tasks = []

    @staticmethod
    def free_prefix():
        for _ in range(50):
            prefix = f"127.{random.randint(20, 250)}"
            try:
                for port in PORTS.values():
                    probe = socket.socket()
                    probe.bind((f"{prefix}.1.1", port))
                    probe.close()
                return prefix
            except OSError:
                continue
        raise OSError("no free addresses")

    def note(self, text):
        self.record.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.record.flush()

    def on_run(self, upstream, request):
        self.runs.setdefault(request["id"], []).append(upstream.machine.name)

    async def start(self):
        await asyncio.gather(*(machine.start() for machine in self.controls + self.nodes))
        for upstream in self.upstreams:
            await upstream.start()

    async def put_config(self, routes, base=None, patience=15.0, version=None):
        """Sends a config to any control host until it is acknowledged or refused."""
        base = self.version if base is None else base
        version = version or base + 1
        services = sorted({route["service"] for route in routes})
        text = json.dumps({"version": f"{version:08x}", "routes": routes, "services": [
            {"name": name, "health_path": "/healthz", "max_connections": 952, "protocol": "h1",
             "tls": False} for name in services], "limits": LIMITS}).encode()
        until = time.monotonic() + patience
        while time.monotonic() < until:
            address = random.choice(self.controls).address("control")
            for _ in range(3):
                try:
                    status, fields, _ = await call(
                        address, "PUT", "/hemlockpoint/config",
                        {"If-Match": f"{base:08x}", "Content-Type": "application/json"}, text, 1.0)
                except Broken:
                    break
                if status == 307:
                    address = fields["location"].split("/")[2]
                    continue
                if status == 200:
                    self.version = version
                    self.note(f"config {version:08x} acknowledged")
                    return 200
                if status in (400, 409, 412, 413, 422):
                    self.note(f"config {version:08x} refused with {status}")
                    return status
                break
            await asyncio.sleep(0.2)
        return None

    async def until_ready(self, patience=20.0):
        until = time.monotonic() + patience
        for node in self.nodes:
            while not await self.is_ready(node):
                if time.monotonic() > until:
                    return False
                await asyncio.sleep(0.2)
        return True

    @staticmethod
    async def is_ready(node):
        try:
            return (await call(node.address("ready"), "GET", "/hemlockpoint/readyz"))[0] == 200
        except Broken:
            return False

    async def close(self):
        for task in self.tasks:
            task.cancel()
        for upstream in self.upstreams:
            upstream.stop()
        for machine in self.controls + self.nodes:
            if machine.is_alive():
                machine.send_signal(signal.SIGCONT)
                machine.send_signal(signal.SIGKILL)
                await machine.process.wait()
            elif machine.process is not None and not machine.is_end_expected:
                self.note(f"{machine.name} had ended by itself with {machine.process.returncode}")
        if os.environ.get("KEEP_LOGS"):
            self.note(f"logs in {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


def route(name, host, prefix, kind, service, timeout_ms=6000, aim_ms=2000, priority=1):
    return {"name": name, "hostname": host, "path_prefix": prefix, "kind": kind,
            "timeout_ms": timeout_ms, "target_latency_ms": aim_ms, "priority": priority,
            "service": service, "max_attempts": 2}


def main(case):
    """Runs the coroutine function `case`, which returns 0, 1 or 2. At SIGTERM the case ends its
    processes, too."""
    async def run():
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        return await asyncio.wait_for(case(), 115)
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    try:
        code = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:  # The case could not run.
        print(f"could not run: {type(error).__name__} {error}", file=sys.stderr)
        code = 2
    sys.exit(code)

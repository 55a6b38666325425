"""Starts the processes of the deploy file on loopback addresses, with small
stand-ins for the platform, its servers, its operator and its clients.

The stand-ins do what the platform's pages allow a sound one. Faults are added by
the cases, and only those that the pages name.
"""
import asyncio
import contextlib
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
SETTINGS_PATH = "/etc/hemlockpoint/local.json"
HEAD_LIMIT = 1 << 20

BROKEN, HELD, CANNOT_RUN = 1, 0, 2
LONGEST_RUN_S = 116


# --- templates of the deploy file -------------------------------------------

TAG = re.compile(r"\{\{([#^/]?)([^{}]+)\}\}")


def look_up(path, scopes):
    if path == ".":
        return scopes[-1]
    for scope in reversed(scopes):
        value = scope
        for part in path.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            else:
                value = None
                break
        if value is not None:
            return value
    return None


def as_text(value):
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(as_text(entry) for entry in value)
    if isinstance(value, dict):
        return json.dumps(value)
    return str(value)


def render(text, scopes, is_last=True):
    out = []
    position = 0
    while tag := TAG.search(text, position):
        out.append(text[position:tag.start()])
        kind, name = tag.group(1), tag.group(2)
        position = tag.end()
        if kind in ("#", "^"):
            end = text.index("{{/" + name + "}}", position)
            inner = text[position:end]
            position = end + len("{{/" + name + "}}")
            value = look_up(name, scopes)
            if kind == "^":
                out.append(render(inner, scopes) if not value else "")
            elif isinstance(value, (list, dict)):
                entries = list(value)
                for index, entry in enumerate(entries):
                    out.append(render(inner, scopes + [entry], index + 1 == len(entries)))
            elif value is not None and value is not False:
                out.append(render(inner, scopes + [value]))
        elif name == ",":
            out.append("" if is_last else ",")
        elif name.endswith("|json"):
            out.append(json.dumps(look_up(name[:-5], scopes)))
        else:
            out.append(as_text(look_up(name, scopes)))
    return "".join(out) + text[position:]


# --- HTTP -------------------------------------------------------------------

class Broken(Exception):
    """The connection ended early or carried no HTTP."""


class Message:
    def __init__(self, start, fields, body):
        self.start = start
        self.fields = fields
        self.body = body

    @property
    def status(self):
        return int(self.start.split()[1])


async def read_head(reader):
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise Broken("ended within a head") from error
        return None
    except (OSError, asyncio.LimitOverrunError) as error:
        raise Broken(str(error) or type(error).__name__) from error
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    try:
        if fields.get("transfer-encoding", "").lower() == "chunked":
            parts = []
            while True:
                size = int((await reader.readuntil(b"\r\n")).strip(), 16)
                parts.append(await reader.readexactly(size))
                await reader.readexactly(2)
                if size == 0:
                    return b"".join(parts)
        return await reader.readexactly(int(fields.get("content-length", 0)))
    except (OSError, ValueError, asyncio.IncompleteReadError) as error:
        raise Broken("the body was cut off") from error


async def read_message(reader):
    head = await read_head(reader)
    if head is None:
        return None
    return Message(head[0], head[1], await read_body(reader, head[1]))


def encode(start, fields, body=b""):
    lines = [start] + [f"{name}: {value}" for name, value in fields.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def connect(address, timeout=1.0):
    host, port = address.rsplit(":", 1)
    try:
        return await asyncio.wait_for(
            asyncio.open_connection(host, int(port), limit=HEAD_LIMIT), timeout)
    except (OSError, asyncio.TimeoutError) as error:
        raise Broken(f"connect: {error or type(error).__name__}") from error


async def call(address, method, path, fields=None, body=b"", timeout=1.0):
    """One request on a new connection. Returns the response; raises Broken."""
    async def exchange():
        reader, writer = await connect(address, timeout)
        try:
            writer.write(encode(f"{method} {path} HTTP/1.1",
                                {"Host": address, "Connection": "close", **(fields or {})}, body))
            response = await read_message(reader)
            if response is None:
                raise Broken("closed without a response")
            return response
        except OSError as error:
            raise Broken(str(error)) from error
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(exchange(), timeout)
    except asyncio.TimeoutError as error:
        raise Broken("no response in time") from error


# --- the system -------------------------------------------------------------

BOUNDS = {"seed_lag_s": 3, "addr_reuse_s": 2, "settle_window_ms": 3000, "ack_ms": 4000,
          "catch_up_s": 4, "drain_ms": 2000, "grace_s": 6, "lost_slack_ms": 200,
          "config_apply_ms": 2000, "rollback_slack_ms": 250, "outer_ms": 5000,
          "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 49,
          "recovery_s": 15}
PORT_NAMES = ("inbound", "outbound", "ready", "control", "app", "peer", "admin")


class Machine:
    """A machine with one process of the system."""

    def __init__(self, rig, name, role, zone, ip, service=None):
        self.rig, self.name, self.role, self.zone, self.ip = rig, name, role, zone, ip
        self.service = service
        self.public_ip = ip
        self.process = None
        self.starts = 0
        self.data_dir = f"{rig.folder}/{name}.data" if role == "control" else None
        self.started_at = 0.0

    def address(self, what):
        return f"{self.ip}:{self.rig.ports[what]}"

    def fields(self):
        serves = ["control"] if self.role == "control" else ["sidecar"]
        listen = {"control": self.address("control")}
        if self.role == "node":
            for what in ("inbound", "outbound", "ready"):
                listen[what] = self.address(what)
        fields = {
            "node_name": self.name, "role": self.role, "serves": serves, "ip": self.ip,
            "machine_class": "core" if self.role == "control" else "sidecar",
            "zone": self.zone, "region": "region-1", "zones": {z: "region-1" for z in ZONES},
            "listen": listen,
            "internal_ports": [self.rig.ports["peer"], self.rig.ports["admin"]],
            "seeds": [f"{m.public_ip}:{self.rig.ports['control']}"
                      for m in self.rig.controls][:3],
            "bootstrap": self.starts == 0,
            "counts_in_tolerance": self.role == "control",
            "limits": {"cpu_share": 0.4, "cores": 1, "memory_mb": 260, "max_fds": 4100,
                       "link_mbps": 1000.0, "disk_mb": 256 if self.role == "control" else 0},
            "data_dir": self.data_dir, "discovery": "static", "entry": "static",
            "heartbeat_ms": 1500,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "pressure"],
            "fault_tolerance": {"machines": 1, "zones": 0, "regions": 0}, "bounds": BOUNDS}
        if self.role == "node":
            fields["app_addr"] = self.address("app")
            fields["service"] = self.service
        return fields

    def start(self):
        role = self.rig.deploy["roles"][self.role]
        path = f"{self.rig.folder}/{self.name}.toml"
        with open(f"{ROOT}/{role['template']}") as template:
            text = render(template.read(), [self.fields()])
        if self.public_ip != self.ip:
            # Peers reach this process through a proxy at the public address.
            peer = f"{self.rig.ports['peer']}\""
            text = text.replace(f'peer = "{self.ip}:{peer}', f'peer = "{self.public_ip}:{peer}\n'
                                f'peer_bind = "{self.ip}:{peer}')
        with open(path, "w") as file:
            file.write(text)
        if self.data_dir:
            os.makedirs(self.data_dir, exist_ok=True)
        command = [path if word == SETTINGS_PATH else word for word in role["run"].split()]
        with open(f"{self.rig.folder}/{self.name}.log", "a") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                env={"PATH": os.environ.get("PATH", "/usr/bin:/bin"), "HOME": self.rig.folder,
                     "LANG": "C", "HEMLOCKPOINT_SETTINGS": path})
        self.starts += 1
        self.started_at = time.monotonic()

    def is_alive(self):
        return self.process is not None and self.process.poll() is None

    def send_signal(self, number):
        if self.is_alive():
            self.process.send_signal(number)

    def kill(self):
        if self.is_alive():
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def memory_mb(self):
        """The resident memory of the process."""
        with contextlib.suppress(OSError):
            with open(f"/proc/{self.process.pid}/statm") as file:
                return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 2**20
        return 0.0


ZONES = ["zone-a", "zone-b", "zone-c"]


class Link:
    """The way to the peer port of one machine, with the delay of a link between zones."""

    def __init__(self, machine, delay_s):
        self.machine, self.delay_s = machine, delay_s
        machine.public_ip = machine.ip.replace(".1.", ".2.")
        self.listener = None

    async def start(self):
        port = self.machine.rig.ports["peer"]
        self.listener = await asyncio.start_server(self.serve, self.machine.public_ip, port)

    async def serve(self, reader, writer):
        try:
            there_reader, there_writer = await asyncio.open_connection(
                self.machine.ip, self.machine.rig.ports["peer"])
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(self.pump(reader, there_writer), self.pump(there_reader, writer))

    async def pump(self, reader, writer):
        """Passes bytes on in order, each after the delay."""
        loop = asyncio.get_running_loop()
        try:
            while data := await reader.read(1 << 16):
                loop.call_later(self.delay_s, writer.write, data)
            loop.call_later(self.delay_s, writer.close)
        except OSError:
            loop.call_later(self.delay_s, writer.transport.abort)


class Rig:
    """The whole system. `services` maps a service to the zones of its machines, or to
    their number."""

    def __init__(self, services, controls=3):
        self.folder = tempfile.mkdtemp(prefix="hemlockpoint-review-")
        with open(f"{ROOT}/deploy/system.toml", "rb") as file:
            self.deploy = tomllib.load(file)
        self.subnet = f"127.{random.randint(20, 250)}"
        self.controls = [Machine(self, f"core-{i + 1}", "control", ZONES[i % 3],
                                 f"{self.subnet}.1.{i + 1}") for i in range(controls)]
        self.nodes = []
        for service, count in services.items():
            zones = count if isinstance(count, list) else [ZONES[i % 3] for i in range(count)]
            for zone in zones:
                number = len(self.nodes) + 1
                self.nodes.append(Machine(self, f"sidecar-{number}", "node", zone,
                                          f"{self.subnet}.3.{number}", service))
        self.ports = self.find_ports()
        self.servers = {}
        self.closers = []

    def find_ports(self):
        for _ in range(50):
            base = random.randint(21000, 31000)
            ports = {name: base + i for i, name in enumerate(PORT_NAMES)}
            try:
                for machine in self.controls + self.nodes:
                    for port in ports.values():
                        with socket.socket() as probe:
                            probe.bind((machine.ip, port))
                return ports
            except OSError:
                continue
        raise SystemExit(CANNOT_RUN)

    def of(self, service):
        return [node for node in self.nodes if node.service == service]

    def end_all(self):
        for machine in self.controls + self.nodes:
            machine.kill()


# --- the record -------------------------------------------------------------

class Record:
    """What was sent, answered and run, one JSON object a line."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def add(self, event, **values):
        entry = {"t": round(self.now(), 4), "event": event, **values}
        self.file.write(json.dumps(entry) + "\n")
        self.file.flush()
        return entry

    def say(self, text):
        self.add("note", text=text)
        print(f"{self.now():8.3f}  {text}", flush=True)


# --- a server (upstream) ----------------------------------------------------

class Server:
    """A sound upstream beside a node. `work` is a coroutine function that takes the
    request's message and returns the body of the response."""

    def __init__(self, rig, machine, record, slots=36, work=None, service=None):
        self.rig, self.machine, self.record = rig, machine, record
        self.service = service or machine.service
        self.slots = slots
        self.work = work or self.default_work
        self.running = 0
        self.sequence = 0
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.id = f"i-{self.service}-{machine.name}-{self.born:x}"
        self.drain_acked_at = None
        self.is_gone = False
        self.writers = set()
        self.listener = None
        self.beats = None
        self.ran = []

    @staticmethod
    async def default_work(request):
        await asyncio.sleep(0.05)
        return b"done"

    async def start(self):
        host, port = self.machine.address("app").rsplit(":", 1)
        self.listener = await asyncio.start_server(self.serve, host, int(port), limit=HEAD_LIMIT)
        self.beats = asyncio.create_task(self.send_beats())

    def report(self):
        self.sequence += 1
        return json.dumps({
            "service": self.service, "address": self.machine.address("app"),
            "zone": self.machine.zone, "version": "v1", "slots": self.slots,
            "state": self.state, "cold_remaining_ms": 0, "sequence": self.sequence,
            "born": self.born}).encode()

    async def send_report(self, body):
        """Returns whether the report was acknowledged."""
        try:
            response = await call(self.machine.address("control"), "PUT",
                                  f"/hemlockpoint/instances/{self.id}",
                                  {"Content-Type": "application/json"}, body)
        except Broken:
            return False
        return 200 <= response.status < 300

    async def send_beats(self):
        while True:
            await self.send_report(self.report())
            await asyncio.sleep(1.5)

    async def withdraw(self):
        """Sends DELETE. Returns whether it was acknowledged."""
        try:
            response = await call(self.machine.address("control"), "DELETE",
                                  f"/hemlockpoint/instances/{self.id}",
                                  {"Content-Type": "application/json"},
                                  json.dumps({"born": self.born}).encode())
        except Broken:
            return False
        return 200 <= response.status < 300

    async def stop(self):
        """Ends as an upstream that leaves: the listener and all connections close."""
        self.is_gone = True
        if self.beats:
            self.beats.cancel()
        if self.listener:
            self.listener.close()
            self.listener = None
        for writer in list(self.writers):
            writer.close()

    def crash(self):
        """Ends at once: connections are reset and new ones refused."""
        self.is_gone = True
        self.beats.cancel()
        self.listener.close()
        self.listener = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def restart(self):
        """Starts a new incarnation after a crash."""
        self.__init__(self.rig, self.machine, self.record, self.slots, self.work, self.service)
        await self.start()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                if not await self.handle(request, writer):
                    break
        except (Broken, OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def respond(self, writer, status, fields, body=b""):
        load = {"X-Server-Load": f"{self.running},0,{self.slots},100"}
        writer.write(encode(f"HTTP/1.1 {status}", {**fields, **load}, body))

    async def handle(self, request, writer):
        fields = request.fields
        path = request.start.split()[1]
        if path == "/healthz":
            healthy = self.state == "ready" and not self.is_gone
            self.respond(writer, "200 OK" if healthy else "503 Service Unavailable",
                         {"X-Instance-Id": self.id})
            return True
        request_id = fields.get("x-request-id", "")
        echo = {"X-Request-Id": request_id}
        if fields.get("x-expect-instance", self.id) != self.id:
            self.respond(writer, "421 Misdirected Request", {**echo, "X-Not-Executed": "1"})
            return True
        if self.running >= self.slots:
            self.respond(writer, "503 Service Unavailable", {**echo, "X-Not-Executed": "1"})
            return True
        self.ran.append((time.monotonic(), request_id))
        self.record.add("run", server=self.machine.name, id=request_id, path=path,
                        body_bytes=len(request.body))
        self.running += 1
        try:
            body = await self.work(request)
        finally:
            self.running -= 1
        self.respond(writer, "200 OK", {**echo, "X-Server-Seal": f"s.{request_id}.{len(body)}"},
                     body)
        await writer.drain()
        return True


# --- the operator -----------------------------------------------------------

def make_config(version, routes, services, limits=None):
    return json.dumps({
        "version": f"{version:08x}", "routes": routes,
        "services": [{"name": name, "health_path": "/healthz", "max_connections": 316,
                      "protocol": "h1", "tls": False} for name in services],
        "limits": limits or {"max_header_bytes": 16384, "max_body_bytes": 67108864,
                             "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}).encode()


def make_route(name, host, prefix, kind, service, timeout_ms=2500, priority=1, max_attempts=2):
    return {"name": name, "hostname": host, "path_prefix": prefix, "kind": kind,
            "timeout_ms": timeout_ms, "target_latency_ms": timeout_ms, "priority": priority,
            "service": service, "max_attempts": max_attempts}


async def send_order(address, method, body=b"", base=None, timeout=1.0):
    """Sends a call of the operator to one node, and follows a 307 twice."""
    fields = {"Content-Type": "application/json"}
    if base is not None:
        fields["If-Match"] = f"{base:08x}"
    path = "/hemlockpoint/config"
    for _ in range(3):
        response = await call(address, method, path, fields, body, timeout)
        if response.status != 307:
            return response
        address = response.fields["location"].removeprefix("http://").split("/")[0]
    return response


async def put_config(rig, body, base, seconds=20):
    """Sends a config until it has a clear answer. Returns the status."""
    deadline = time.monotonic() + seconds
    pause = 0.05
    number = 0
    while time.monotonic() < deadline:
        machine = rig.controls[number % len(rig.controls)]
        number += 1
        try:
            response = await send_order(machine.address("control"), "PUT", body, base)
            if response.status not in (307, 408, 429) and response.status < 500:
                return response.status
        except Broken:
            pass
        await asyncio.sleep(pause)
        pause = min(pause * 1.5, 1.0)
    return None


async def is_ready(machine):
    try:
        response = await call(machine.address("ready"), "GET", "/hemlockpoint/readyz")
        return response.status == 200
    except Broken:
        return False


async def start_system(rig, record, server_options=None):
    """Starts all machines and their servers, as at the first start."""
    machines = rig.controls + rig.nodes
    random.shuffle(machines)
    for machine in machines:
        machine.start()
    for node in rig.nodes:
        options = (server_options or {}).get(node.service, {})
        rig.servers[node.name] = Server(rig, node, record, **options)
        await rig.servers[node.name].start()


async def await_ready(rig, seconds=20):
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        if all([await is_ready(node) for node in rig.nodes]):
            return True
        await asyncio.sleep(0.2)
    return False


def run_case(folder, case):
    """Runs `case(make_rig, record, trouble)`, ends every process, and exits with its result."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(folder, "record.txt"))
    rigs = []

    def make_rig(*args, **kwargs):
        rig = Rig(*args, **kwargs)
        rigs.append(rig)
        return rig

    def end():
        for rig in rigs:
            rig.end_all()
            subprocess.run(["rm", "-rf", rig.folder], check=False)

    def give_up(*_):
        end()
        os._exit(CANNOT_RUN)

    # Ends everything if the case hangs or is stopped.
    watchdog = threading.Timer(LONGEST_RUN_S, give_up)
    watchdog.daemon = True
    watchdog.start()
    signal.signal(signal.SIGTERM, give_up)
    result = CANNOT_RUN
    # The loop isn't closed in order: the process exits below, whatever still runs in it.
    loop = asyncio.new_event_loop()
    try:
        result = loop.run_until_complete(case(make_rig, record, trouble))
    except Exception as error:  # noqa: BLE001 - reported, and the case counts as not run
        record.say(f"the case could not run: {type(error).__name__}: {error}")
        traceback.print_exc()
    end()
    record.say({BROKEN: "RESULT 1: the rule was broken", HELD: "RESULT 0: the rule held",
                CANNOT_RUN: "RESULT 2: the case could not run"}[result])
    sys.stdout.flush()
    os._exit(result)

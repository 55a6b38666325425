"""Callers, the operator and the faults of one seed."""
import asyncio
import random
import signal
import time

import http1
from cluster import Cluster
from ledger import Ledger, UNSAFE_KINDS
from proxy import Proxy
from standin import wire
from target import Target, expected_body

HOST = "soak.example"
SERVICES = ("stock", "sales", "photos")
# Prefix of the routes that never change: kind, service, rank.
ROUTES = {"/count/": ("safe", "stock", 2), "/book/": ("unsafe", "sales", 0),
          "/photo/": ("upload", "photos", 1)}
CALLERS = 16
DEADLINE_MS = 3000
# Settling time after the last fault before bounds in time hold.
SETTLE_S = 4.0
APPLY_S = 2.0
KEPT_MARKERS = 30
# Rules whose bounds are times; a busy host can break them by itself.
BOUND_IN_TIME = ("held", "in force", "stops in time", "starts", "recovers")


class World:
    def __init__(self, seed, folder, binary, net, planned_only, timeless):
        self.timeless = timeless
        self.rng = random.Random(seed)
        self.planned_only = planned_only
        self.cluster = Cluster(folder, binary, net)
        self.ledger = Ledger({prefix: {service} for prefix, (_, service, _) in ROUTES.items()},
                             timeless)
        self.targets = []
        self.target_proxies = []
        self.last_unplanned = -1e9
        self.last_disk_loss = -1e9
        self.stopping = {}
        self.version = 0
        self.acked = 0
        self.acked_at = 0.0
        self.markers = []
        self.seen_marker = {}
        self.ending = False
        self.requests = 0
        self.recent = []
        number = 0
        for service in SERVICES:
            for _ in range(2):
                number += 1
                real, public = f"{net}.5.{number}:8000", f"{net}.6.{number}:8000"
                node = self.cluster.add_node(number, service, public)
                self.target_proxies.append(Proxy(public, real))
                self.targets.append(Target(f"t{number}", service, f"d{number}", real, public,
                                           f"{node.real_ip}:7003", self.ledger, self.rng))

    def find(self, rule, text):
        if not (self.timeless and rule in BOUND_IN_TIME):
            self.ledger.find(rule, text)

    def calm(self):
        return time.monotonic() - self.last_unplanned > SETTLE_S

    # Callers.

    async def caller(self, index):
        connection = None
        while not self.ending:
            node = self.rng.choice(self.cluster.nodes)
            prefix = self.rng.choice(list(ROUTES))
            connection = await self.one_request(index, node, prefix, connection)
            await asyncio.sleep(self.rng.uniform(0.01, 0.15))

    async def one_request(self, index, node, prefix, kept):
        """Returns the connection if it can be used again."""
        kind = ROUTES[prefix][0]
        self.requests += 1
        rid = f"{index:x}{self.requests:06x}{self.rng.getrandbits(32):08x}"
        self.ledger.kinds[rid] = (kind, prefix)
        body = b"" if kind == "safe" else bytes(self.rng.randrange(20, 30000))
        fields = {"Host": HOST, wire.REQUEST_ID: rid, wire.TIME_LEFT: str(DEADLINE_MS)}
        method = "GET" if kind == "safe" else "POST"
        if kept and kept[0] is node and self.rng.random() < 0.8:
            reader, writer = kept[1:]
        else:
            if kept:
                kept[2].close()
            try:
                reader, writer = await asyncio.wait_for(
                    asyncio.open_connection(*node.callers_address.rsplit(":", 1)), 1)
            except (OSError, asyncio.TimeoutError):
                self.recent.append((time.monotonic(), False))
                return None
        sent = time.monotonic()
        try:
            writer.write(http1.encode(f"{method} {prefix}{rid} HTTP/1.1", fields, body))
            answer = await asyncio.wait_for(http1.read_message(reader), DEADLINE_MS / 1000 + 2)
        except asyncio.TimeoutError:
            if self.calm() and sent > self.last_unplanned + SETTLE_S:
                self.find("held", f"{rid} at {node.name} has no answer {DEADLINE_MS + 2000} ms on")
            answer = None
        except (http1.Broken, OSError) as error:
            self.on_cut(node, rid, sent, str(error))
            answer = None
        else:
            if answer is None:
                self.on_cut(node, rid, sent, "closed")
        self.recent.append((time.monotonic(), answer is not None and answer.status == 200))
        if answer is None:
            writer.close()
            return None
        self.check_answer(rid, prefix, answer)
        if answer.fields.get("connection", "").lower() == "close":
            writer.close()
            return None
        return node, reader, writer

    def check_answer(self, rid, prefix, answer):
        self.ledger.answered(rid, answer.status)
        if answer.status == 200:
            bodies = [expected_body(rid, s) for s in self.ledger.allowed[prefix]]
            if answer.body not in bodies or wire.PROOF not in answer.fields:
                self.find("whole answer", f"{rid} got {answer.body[:60]!r} of {len(answer.body)}")
        elif answer.status == 404:
            self.find("denied", f"{rid} of {prefix} got 404")

    def on_cut(self, node, rid, sent, reason):
        stopped = self.stopping.get(node.name, -1e9)
        planned = -1 < sent - stopped < 7
        if planned and self.calm() and self.ledger.runs.get(rid):
            self.find("cut by a stop", f"{rid} at {node.name}: {reason}, "
                                       f"{sent - stopped:.2f} s after SIGTERM")

    # The operator.

    def make_document(self, version):
        routes = [wire.route(name.strip("/"), HOST, name, kind, service, rank)
                  for name, (kind, service, rank) in ROUTES.items()]
        for marker in (self.markers + [version])[-KEPT_MARKERS:]:
            routes.append(wire.route(f"m{marker}", HOST, f"/m{marker}/", "safe", "stock", 3))
        return wire.document(version, routes, SERVICES)

    async def put(self, body, base):
        """Sends a change until it has a clear answer, as operators do."""
        address = self.rng.choice(self.cluster.controls).operator_address
        pause = 0.1
        while not self.ending:
            try:
                answer = await http1.call(address, "PUT", wire.DOCUMENT_PATH,
                                          {"If-Match": wire.version_text(base)}, body.encode())
            except (http1.Broken, asyncio.TimeoutError):
                answer = None
            if answer is not None and answer.status == 307:
                address = answer.fields["location"].split("/")[2]
                await asyncio.sleep(0.02)
                continue
            lost = self.rng.random() < 0.2
            if answer is not None and answer.status < 500 and not lost:
                return answer.status
            await asyncio.sleep(pause)
            pause = min(1.0, pause * 1.5)
            address = self.rng.choice(self.cluster.controls).operator_address
        return None

    async def operator(self):
        while not self.ending:
            base = self.acked
            version = self.version = self.version + self.rng.randint(1, 4)
            body = self.make_document(version)
            if self.rng.random() < 0.2 and base:
                await self.race(base, version, body)
            else:
                status = await self.put(body, base)
                if status == 200:
                    self.accept(version)
                elif status is not None:
                    self.find("accepted once", f"version {version} on {base} got {status}")
            await asyncio.sleep(self.rng.uniform(0.3, 2.5))

    async def race(self, base, version, body):
        other = self.make_document(version).replace('"timeout_ms": 3000', '"timeout_ms": 2900')
        results = await asyncio.gather(self.put(body, base), self.put(other, base))
        if None not in results and sorted(results) != [200, 412]:
            self.find("one winner", f"two changes on {base} got {results}")
        if 200 in results:
            self.accept(version)

    def accept(self, version):
        self.acked = version
        self.acked_at = time.monotonic()
        self.markers.append(version)

    async def reader(self):
        while not self.ending:
            newest = self.acked
            try:
                address = self.rng.choice(self.cluster.controls).operator_address
                answer = await http1.call(address, "GET", wire.DOCUMENT_PATH)
                if answer.status == 200 and wire.version_of(answer.body) < newest:
                    self.find("never older", f"a read gave {wire.version_of(answer.body)} "
                                             f"after {newest} was accepted")
            except (http1.Broken, asyncio.TimeoutError):
                pass
            await asyncio.sleep(self.rng.uniform(0.1, 0.5))

    async def prober(self):
        """Asks each node for routes of documents that should be in force."""
        while not self.ending:
            for node in self.cluster.nodes:
                await self.probe(node)
            await asyncio.sleep(0.3)

    async def probe(self, node):
        due = self.acked if time.monotonic() > self.acked_at + APPLY_S else 0
        pid = node.process.pid
        seen = self.seen_marker.get(pid, 0)
        marker = max(due, seen)
        if marker not in self.markers[-KEPT_MARKERS:]:
            return
        calm = self.calm()
        rid = f"p{self.rng.getrandbits(48):012x}"
        prefix = f"/m{marker}/"
        self.ledger.kinds[rid] = ("safe", prefix)
        self.ledger.allowed[prefix] = {"stock"}
        fields = {"Host": HOST, wire.REQUEST_ID: rid, wire.TIME_LEFT: "1000"}
        try:
            answer = await http1.call(node.callers_address, "GET", prefix + rid, fields, timeout=2)
        except (http1.Broken, asyncio.TimeoutError):
            return
        if answer.status == 404 and marker == seen:
            self.find("never older", f"{node.name} had document {seen} and lost it")
        elif answer.status == 404 and calm and self.calm():
            self.find("in force", f"{node.name} lacks document {marker}, accepted "
                                  f"{time.monotonic() - self.acked_at:.2f} s ago")
        elif answer.status != 404 and node.process.pid == pid and answer.status < 500:
            self.seen_marker[pid] = marker

    # Faults.

    async def planned_fault(self):
        choice = self.rng.choice(("stop", "stop", "drain", "hup"))
        if choice == "stop":
            node = self.rng.choice(self.cluster.nodes)
            if not node.alive() or node.paused or node.name in self.stopping:
                return
            self.stopping[node.name] = time.monotonic()
            took = await node.stop()
            if took >= 6 and self.calm():
                self.find("stops in time", f"{node.name} was still there after {took:.1f} s")
            node.start()
            await asyncio.sleep(2)
            self.stopping.pop(node.name, None)
        elif choice == "drain":
            target = self.rng.choice(self.targets)
            if target.draining or target.server is None:
                return
            await target.drain(self.rng.uniform(2.0, 3.5))
            await asyncio.sleep(self.rng.uniform(0.1, 1))
            await target.start()
        else:
            self.rng.choice(self.cluster.daemons).send_signal(signal.SIGHUP)

    async def unplanned_fault(self):
        action = self.rng.choice((self.kill_node, self.pause_any, self.kill_control,
                                  self.wipe_control, self.spoil_link, self.spoil_link,
                                  self.crash_target, self.spoil_target, self.kill_controls))
        self.last_unplanned = time.monotonic()
        await action()
        self.last_unplanned = time.monotonic()

    async def kill_node(self):
        node = self.rng.choice(self.cluster.nodes)
        if node.name not in self.stopping and node.alive():
            node.kill()
            await asyncio.sleep(self.rng.uniform(0.05, 1.5))
            node.start()

    async def pause_any(self):
        daemon = self.rng.choice(self.cluster.daemons)
        if daemon.alive() and not daemon.paused and daemon.name not in self.stopping:
            daemon.pause()
            await asyncio.sleep(self.rng.uniform(0.3, 3))
            daemon.resume()

    async def kill_control(self):
        control = self.rng.choice(self.cluster.controls)
        if control.alive():
            control.kill()
            await asyncio.sleep(self.rng.uniform(0.05, 1))
            control.start()

    async def kill_controls(self):
        for control in self.cluster.controls:
            if control.alive():
                control.kill()
        await asyncio.sleep(self.rng.uniform(0.1, 0.8))
        for control in self.cluster.controls:
            if not control.alive():
                control.start()

    async def wipe_control(self):
        # One lost disk at a time is borne, until the host has caught up.
        if time.monotonic() - self.last_disk_loss < 12 or not self.acked:
            return
        self.last_disk_loss = time.monotonic()
        control = self.rng.choice(self.cluster.controls)
        if control.alive():
            control.kill()
            control.wipe()
            await asyncio.sleep(self.rng.uniform(0.1, 0.5))
            control.start()

    async def spoil_link(self):
        proxies = [daemon.peer for daemon in self.cluster.daemons] + self.target_proxies
        proxy = self.rng.choice(proxies)
        kind = self.rng.choice(("delay", "reset", "in", "out", "both"))
        if kind == "reset":
            proxy.reset()
            return
        proxy.delay = self.rng.uniform(0.01, 0.3) if kind == "delay" else 0
        proxy.hold_in = kind in ("in", "both")
        proxy.hold_out = kind in ("out", "both")
        await asyncio.sleep(self.rng.uniform(0.5, 3))
        proxy.clear()

    async def crash_target(self):
        target = self.rng.choice(self.targets)
        if target.server is not None and not target.draining:
            target.crash()
            await asyncio.sleep(self.rng.uniform(0.2, 2))
            await target.start()

    async def spoil_target(self):
        target = self.rng.choice(self.targets)
        fault = self.rng.choice(("lose_answer", "cut_answer", "extra_answer"))
        setattr(target, fault, self.rng.uniform(0.05, 0.4))
        target.slow = self.rng.choice((1.0, 1.0, 8.0))
        await asyncio.sleep(self.rng.uniform(0.5, 3))
        setattr(target, fault, 0.0)
        target.slow = 1.0

    async def faults(self, until):
        tasks = []
        while time.monotonic() < until:
            planned = self.planned_only or self.rng.random() < 0.35
            action = self.planned_fault() if planned else self.unplanned_fault()
            tasks.append(asyncio.create_task(action))
            await asyncio.sleep(self.rng.uniform(0.2, 2.0))
        await asyncio.gather(*tasks)
        for proxy in [daemon.peer for daemon in self.cluster.daemons] + self.target_proxies:
            proxy.clear()

    # The run.

    async def until_ready(self, seconds):
        until = time.monotonic() + seconds
        waiting = list(self.cluster.nodes)
        while waiting and time.monotonic() < until:
            try:
                answer = await http1.call(f"{waiting[0].real_ip}:7004", "GET", wire.READY_PATH)
                if answer.status == 200:
                    waiting.pop(0)
                    continue
            except (http1.Broken, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.1)
        for node in waiting:
            self.find("starts", f"{node.name} wasn't ready within {seconds} s")

    async def run(self, fault_s, recovery_s):
        for proxy in self.target_proxies:
            await proxy.start()
        await self.cluster.start()
        for target in self.targets:
            await target.start()
        tasks = [asyncio.create_task(self.operator()), asyncio.create_task(self.reader())]
        await self.until_ready(20)
        tasks += [asyncio.create_task(self.caller(i)) for i in range(CALLERS)]
        tasks.append(asyncio.create_task(self.prober()))
        await asyncio.sleep(1.5)
        await self.faults(time.monotonic() + fault_s)
        await asyncio.sleep(recovery_s)
        self.check_recovery()
        self.ending = True
        await asyncio.wait(tasks, timeout=8)
        for task in tasks:
            if task.done() and task.exception():
                self.find("the soak itself", repr(task.exception()))
            task.cancel()
        for target in self.targets:
            target.crash()
        self.cluster.end()
        self.check_double_runs()

    def check_recovery(self):
        since = time.monotonic() - 3
        last = [served for at, served in self.recent if at > since]
        share = sum(last) / max(1, len(last))
        if share < 0.9:
            self.find("recovers", f"{share:.2f} of {len(last)} requests served at the end")

    def check_double_runs(self):
        for rid, status in self.ledger.answers.items():
            if status in wire.PROMISES_NOT_RUN and self.ledger.runs.get(rid):
                if self.ledger.kinds[rid][0] in UNSAFE_KINDS:
                    self.find("truthful", f"{rid} was answered {status} and has run")

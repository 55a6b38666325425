"""The run of one seed: callers, an operator, injected faults, and checks."""
import asyncio
import random
import time

import http1
import surroundings
from cluster import Cluster
from checker import Checker, UNSAFE_KINDS
from proxy import Proxy
from standin import wire
from target import Target, expected_body

HOST = "soak.example"
SERVICES = ("stock", "sales", "photos")
# Routes that every document has. Path prefix: kind, service, rank.
ROUTES = {"/count/": ("safe", "stock", 2), "/book/": ("unsafe", "sales", 0),
          "/photo/": ("upload", "photos", 1)}
CALLERS = 16
DEADLINE_MS = 3000
# Time after the last unplanned fault from which time bounds must hold again.
SETTLE_S = 4.0
# Time within which an accepted document must be in force at every node.
APPLY_S = 2.0
# Number of the newest documents, with the one being sent, whose marker routes stay in later ones.
KEPT_MARKERS = 200
# Share of the restarts at which another program holds a port of the daemon.
HELD_PORT_SHARE = 0.3
# Requests of a burst, at least and at most. Nodes accept fewer.
BURST = (400, 1500)
# Rules with a time bound, which a busy machine can violate without a fault of the system.
TIME_BOUND_RULES = ("held", "in force", "stops in time", "starts", "recovers")


class SoakRun:
    """One run. With `planned_only`, all injected operations are planned: stops, drains,
    reloads. With `is_limited`, the daemons run under limits of the system. With `timeless`,
    rules with a time bound aren't checked."""

    def __init__(self, seed, folder, binary, network, planned_only, is_limited, timeless, nodes):
        self.timeless = timeless
        self.rng = random.Random(seed)
        self.planned_only = planned_only
        self.cluster = Cluster(folder, binary, network, is_limited)
        self.checker = Checker({prefix: {service} for prefix, (_, service, _) in ROUTES.items()},
                               timeless)
        self.targets = []
        self.target_proxies = []
        self.last_unplanned_fault = -1e9
        self.last_disk_loss = -1e9
        # Time of SIGTERM for each node that is being stopped; kept until 2 s after its restart.
        self.stopped_at = {}
        # Version of the newest document that was sent, and of the newest accepted one.
        self.version = 0
        self.accepted_version = 0
        self.accepted_at = 0.0
        # Versions of all accepted documents. Each document has a marker route for itself and
        # for its predecessors, by which a probe finds out whether a node applies it.
        self.markers = []
        # Newest marker that each node process was seen to apply, by process id.
        self.seen_marker = {}
        self.is_ending = False
        self.held_ports = 0
        self.is_storm = False
        self.bursts = 0
        self.request_count = 0
        # Time and success of each request.
        self.outcomes = []
        for number in range(1, nodes + 1):
            service = SERVICES[(number - 1) * len(SERVICES) // nodes]
            real = f"{network.prefix}.5.{number}:8000"
            public = f"{network.prefix}.6.{number}:8000"
            node = self.cluster.add_node(number, service, public)
            self.target_proxies.append(Proxy(public, real))
            self.targets.append(Target(f"t{number}", service, f"d{number}", real, public,
                                       f"{node.real_ip}:7003", self.checker, self.rng))

    def add_finding(self, rule, text):
        if not (self.timeless and rule in TIME_BOUND_RULES):
            self.checker.add_finding(rule, text)

    def is_settled(self):
        return time.monotonic() - self.last_unplanned_fault > SETTLE_S

    # Callers.

    async def run_caller(self, index):
        """Sends requests one after another until the run ends."""
        connection = None
        while not self.is_ending:
            node = self.rng.choice(self.cluster.nodes)
            prefix = self.rng.choice(list(ROUTES))
            connection = await self.send_request(index, node, prefix, connection)
            await asyncio.sleep(self.rng.uniform(0.01, 0.15))

    async def send_request(self, index, node, prefix, kept):
        """Sends a request, often on the kept connection, and checks the response. Returns
        (node, reader, writer) when the connection can be used again, otherwise None."""
        kind = ROUTES[prefix][0]
        self.request_count += 1
        request_id = f"{index:x}{self.request_count:06x}{self.rng.getrandbits(32):08x}"
        self.checker.requests[request_id] = (kind, prefix)
        body = b"" if kind == "safe" else bytes(self.rng.randrange(20, 30000))
        fields = {"Host": HOST, wire.REQUEST_ID: request_id, wire.TIME_LEFT: str(DEADLINE_MS)}
        method = "GET" if kind == "safe" else "POST"
        if kept and kept[0] is node and self.rng.random() < 0.8:
            reader, writer = kept[1:]
        else:
            if kept:
                kept[2].close()
            try:
                reader, writer = await asyncio.wait_for(
                    asyncio.open_connection(*node.http_address.rsplit(":", 1)), 1)
            except (OSError, asyncio.TimeoutError):
                self.outcomes.append((time.monotonic(), False))
                return None
        sent_at = time.monotonic()
        try:
            writer.write(http1.encode(f"{method} {prefix}{request_id} HTTP/1.1", fields, body))
            response = await asyncio.wait_for(http1.read_message(reader), DEADLINE_MS / 1000 + 2)
        except asyncio.TimeoutError:
            if self.is_settled() and sent_at > self.last_unplanned_fault + SETTLE_S:
                self.add_finding("held", f"{request_id} at {node.name} has no response after "
                                         f"{DEADLINE_MS + 2000} ms")
            response = None
        except (http1.ConnectionBroken, OSError) as error:
            self.on_connection_lost(node, request_id, sent_at, str(error))
            response = None
        else:
            if response is None:
                self.on_connection_lost(node, request_id, sent_at, "closed")
        self.outcomes.append((time.monotonic(), response is not None and response.status == 200))
        if response is None:
            writer.close()
            return None
        if (response.status in (502, 504) and self.planned_only
                and request_id in self.checker.running):
            self.add_finding("given up", f"{request_id} at {node.name} got {response.status} while "
                                         "its target was at work")
        self.check_response(request_id, prefix, response)
        if response.fields.get("connection", "").lower() == "close":
            writer.close()
            return None
        return node, reader, writer

    def check_response(self, request_id, prefix, response):
        self.checker.on_response(request_id, response.status)
        if response.status == 200:
            bodies = [expected_body(request_id, s) for s in self.checker.services_by_prefix[prefix]]
            if response.body not in bodies or wire.PROOF not in response.fields:
                self.add_finding("whole answer", f"{request_id} got {response.body[:60]!r} of "
                                                 f"{len(response.body)}")
        elif response.status == 404:
            self.add_finding("denied", f"{request_id} of {prefix} got 404")

    def on_connection_lost(self, node, request_id, sent_at, reason):
        """Checks that a planned stop doesn't close the connection of a request that has run."""
        terminated_at = self.stopped_at.get(node.name, -1e9)
        is_stopping = -1 < sent_at - terminated_at < 7
        if is_stopping and self.is_settled() and self.checker.executions.get(request_id):
            self.add_finding("cut by a stop", f"{request_id} at {node.name}: {reason}, "
                                              f"{sent_at - terminated_at:.2f} s after SIGTERM")

    # The operator.

    def make_document(self, version):
        """Returns a document with the fixed routes and the markers of recent documents."""
        routes = [wire.route(name.strip("/"), HOST, name, kind, service, rank)
                  for name, (kind, service, rank) in ROUTES.items()]
        for marker in (self.markers + [version])[-KEPT_MARKERS:]:
            routes.append(wire.route(f"m{marker}", HOST, f"/m{marker}/", "safe", "stock", 3))
        return wire.document(version, routes, SERVICES)

    async def put_document(self, body, base):
        """Sends a change, based on version `base`, until it gets a definite status, which is
        returned; None when the run ends. Outside of storms a fifth of the responses is treated
        as lost, so that accepted changes are sent again."""
        address = self.rng.choice(self.cluster.controls).operator_address
        pause = 0.1
        while not self.is_ending:
            try:
                response = await http1.call(address, "PUT", wire.DOCUMENT_PATH,
                                            {"If-Match": wire.version_text(base)}, body.encode())
            except (http1.ConnectionBroken, asyncio.TimeoutError):
                response = None
            if response is not None and response.status == 307:
                address = response.fields["location"].split("/")[2]
                await asyncio.sleep(0.02)
                continue
            is_lost = not self.is_storm and self.rng.random() < 0.2
            if response is not None and response.status < 500 and not is_lost:
                return response.status
            await asyncio.sleep(pause)
            pause = min(1.0, pause * 1.5)
            address = self.rng.choice(self.cluster.controls).operator_address
        return None

    async def run_operator(self):
        """Changes the document again and again."""
        while not self.is_ending:
            base = self.accepted_version
            version = self.version = self.version + self.rng.randint(1, 4)
            body = self.make_document(version)
            if self.rng.random() < 0.2 and base:
                await self.send_conflicting_changes(base, version, body)
            else:
                status = await self.put_document(body, base)
                if status == 200:
                    self.record_accepted(version)
                elif status is not None:
                    self.add_finding("accepted once", f"version {version} on {base} got {status}")
            await surroundings.pause_changes(self, self.rng.uniform(0.3, 2.5))

    async def send_conflicting_changes(self, base, version, body):
        """Sends two changes with the same base, of which one must be accepted."""
        other = self.make_document(version).replace('"timeout_ms": 3000', '"timeout_ms": 2900')
        results = await asyncio.gather(self.put_document(body, base),
                                       self.put_document(other, base))
        if None not in results and sorted(results) != [200, 412]:
            self.add_finding("one winner", f"two changes on {base} got {results}")
        if 200 in results:
            self.record_accepted(version)

    def record_accepted(self, version):
        self.accepted_version = version
        self.accepted_at = time.monotonic()
        self.markers.append(version)

    async def run_reader(self):
        """Checks that reads of the document never return a version older than an accepted one."""
        while not self.is_ending:
            accepted_before = self.accepted_version
            try:
                address = self.rng.choice(self.cluster.controls).operator_address
                response = await http1.call(address, "GET", wire.DOCUMENT_PATH)
                if response.status == 200 and wire.version_of(response.body) < accepted_before:
                    self.add_finding("never older", f"a read returned "
                                                    f"{wire.version_of(response.body)} "
                                                    f"after {accepted_before} was accepted")
            except (http1.ConnectionBroken, asyncio.TimeoutError):
                pass
            await asyncio.sleep(self.rng.uniform(0.1, 0.5))

    async def run_prober(self):
        """Checks at each node that accepted documents are in force and stay so."""
        while not self.is_ending:
            for node in self.cluster.nodes:
                await self.probe(node)
            await asyncio.sleep(0.3)

    async def probe(self, node):
        """Calls the marker route of the newest document that must be in force at a node, or
        that the node was seen to apply."""
        required = self.accepted_version if time.monotonic() > self.accepted_at + APPLY_S else 0
        pid = node.process.pid
        seen = self.seen_marker.get(pid, 0)
        marker = max(required, seen)
        if marker not in self.markers[1 - KEPT_MARKERS:]:
            return
        was_settled = self.is_settled()
        request_id = f"p{self.rng.getrandbits(48):012x}"
        prefix = f"/m{marker}/"
        self.checker.requests[request_id] = ("safe", prefix)
        self.checker.services_by_prefix[prefix] = {"stock"}
        fields = {"Host": HOST, wire.REQUEST_ID: request_id, wire.TIME_LEFT: "1000"}
        try:
            response = await http1.call(node.http_address, "GET", prefix + request_id, fields,
                                        timeout=2)
        except (http1.ConnectionBroken, asyncio.TimeoutError):
            return
        if response.status == 404 and marker == seen:
            self.add_finding("never older", f"{node.name} no longer applies document {seen}")
        elif response.status == 404 and was_settled and self.is_settled():
            self.add_finding("in force", f"{node.name} lacks document {marker}, accepted "
                                             f"{time.monotonic() - self.accepted_at:.2f} s ago")
        elif response.status != 404 and node.process.pid == pid and response.status < 500:
            self.seen_marker[pid] = marker

    async def run_watch(self):
        """Checks that no daemon ends by itself."""
        while not self.is_ending:
            for daemon in self.cluster.daemons:
                if daemon.note_end():
                    daemon.start()
            await asyncio.sleep(0.05)

    # Faults.

    def start_again(self, daemon):
        """Starts a daemon, sometimes while another program holds one of its ports."""
        held_s = self.rng.uniform(0.2, 2)
        address = (daemon.real_ip, self.rng.choice(daemon.PORTS))
        peer = self.rng.choice((None, f"{self.cluster.network.prefix}.7.1"))
        if self.rng.random() < HELD_PORT_SHARE:
            try:
                hold = surroundings.PortHold(address, peer)
                asyncio.get_running_loop().call_later(held_s, hold.release)
                self.held_ports += 1
            except OSError:
                pass
        daemon.start()

    async def inject_planned_fault(self):
        choice = self.rng.choice(("stop", "stop", "stop control", "drain", "hup"))
        if choice == "stop":
            node = self.rng.choice(self.cluster.nodes)
            if not node.is_alive() or node.is_paused or node.name in self.stopped_at:
                return
            self.stopped_at[node.name] = time.monotonic()
            waited_s = await node.stop()
            if waited_s >= 6 and self.is_settled():
                self.add_finding("stops in time", f"{node.name} was still running after "
                                                  f"{waited_s:.1f} s")
            self.start_again(node)
            await asyncio.sleep(2)
            self.stopped_at.pop(node.name, None)
        elif choice == "stop control":
            control = self.rng.choice(self.cluster.controls)
            if control.is_alive() and not control.is_end_expected and not control.is_paused:
                await control.stop()
                self.start_again(control)
        elif choice == "drain":
            target = self.rng.choice(self.targets)
            if target.is_draining or target.server is None:
                return
            await target.drain(self.rng.uniform(2.0, 3.5))
            await asyncio.sleep(self.rng.uniform(0.1, 1))
            await target.start()
        else:
            self.rng.choice(self.cluster.daemons).reload()

    async def inject_unplanned_fault(self):
        action = self.rng.choice((self.kill_node, self.pause_daemon, self.kill_control,
                                  self.wipe_control, self.disturb_connections,
                                  self.disturb_connections, self.crash_target,
                                  self.disturb_target, self.kill_all_controls,
                                  self.send_burst, self.send_burst,
                                  *2 * [lambda: surroundings.send_storm(self)]))
        self.last_unplanned_fault = time.monotonic()
        await action()
        self.last_unplanned_fault = time.monotonic()

    async def kill_node(self):
        node = self.rng.choice(self.cluster.nodes)
        if node.name not in self.stopped_at and node.is_alive():
            node.kill()
            await asyncio.sleep(self.rng.uniform(0.05, 1.5))
            self.start_again(node)

    async def pause_daemon(self):
        daemon = self.rng.choice(self.cluster.daemons)
        if daemon.is_alive() and not daemon.is_paused and daemon.name not in self.stopped_at:
            daemon.pause()
            await asyncio.sleep(self.rng.uniform(0.3, 3))
            daemon.resume()

    async def kill_control(self):
        control = self.rng.choice(self.cluster.controls)
        if control.is_alive():
            control.kill()
            await asyncio.sleep(self.rng.uniform(0.05, 1))
            self.start_again(control)

    async def kill_all_controls(self):
        for control in self.cluster.controls:
            if control.is_alive():
                control.kill()
        await asyncio.sleep(self.rng.uniform(0.1, 0.8))
        for control in self.cluster.controls:
            if not control.is_alive():
                self.start_again(control)

    async def wipe_control(self):
        # The group tolerates one lost disk, until its host has caught up; 12 s allow for that.
        if time.monotonic() - self.last_disk_loss < 12 or not self.accepted_version:
            return
        self.last_disk_loss = time.monotonic()
        control = self.rng.choice(self.cluster.controls)
        if control.is_alive():
            control.kill()
            control.wipe()
            await asyncio.sleep(self.rng.uniform(0.1, 0.5))
            self.start_again(control)

    async def disturb_connections(self):
        proxies = [daemon.proxy for daemon in self.cluster.daemons] + self.target_proxies
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
        if target.server is not None and not target.is_draining:
            target.crash()
            await asyncio.sleep(self.rng.uniform(0.2, 2))
            await target.start()

    async def disturb_target(self):
        target = self.rng.choice(self.targets)
        fault = self.rng.choice(("lose_answer", "cut_answer", "extra_answer", "spoil_answer"))
        setattr(target, fault, self.rng.uniform(0.05, 0.4))
        target.slowdown = self.rng.choice((1.0, 1.0, 8.0))
        await asyncio.sleep(self.rng.uniform(0.5, 3))
        setattr(target, fault, 0.0)
        target.slowdown = 1.0

    async def send_burst(self):
        """Sends unfinished requests, which aren't counted, to a node."""
        nodes = self.cluster.nodes
        node = self.rng.choice([node for node in nodes if node.is_alive()] or nodes)
        self.bursts += 1
        requests = []
        for _ in range(self.rng.randint(*BURST)):
            request_id = f"b{self.rng.getrandbits(48):012x}"
            prefix = self.rng.choice([p for p, (kind, _, _) in ROUTES.items() if kind != "safe"])
            self.checker.requests[request_id] = (ROUTES[prefix][0], prefix)
            fields = {"Host": HOST, wire.REQUEST_ID: request_id, wire.TIME_LEFT: str(DEADLINE_MS)}
            requests.append((f"POST {prefix}{request_id} HTTP/1.1", fields))
        await surroundings.hold_burst(node.http_address, requests, self.rng.uniform(0.5, 2))

    async def inject_faults(self, until):
        """Injects faults at random intervals, then waits for their end."""
        tasks = []
        while time.monotonic() < until:
            planned = self.planned_only or self.rng.random() < 0.35
            action = self.inject_planned_fault() if planned else self.inject_unplanned_fault()
            tasks.append(asyncio.create_task(action))
            await asyncio.sleep(self.rng.uniform(0.2, 2.0))
        await asyncio.gather(*tasks)
        for proxy in [daemon.proxy for daemon in self.cluster.daemons] + self.target_proxies:
            proxy.clear()

    # The run.

    async def wait_until_ready(self, seconds):
        deadline = time.monotonic() + seconds
        waiting = list(self.cluster.nodes)
        while waiting and time.monotonic() < deadline:
            try:
                response = await http1.call(f"{waiting[0].real_ip}:7004", "GET", wire.READY_PATH)
                if response.status == 200:
                    waiting.pop(0)
                    continue
            except (http1.ConnectionBroken, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.1)
        for node in waiting:
            self.add_finding("starts", f"{node.name} wasn't ready within {seconds} s")

    async def run(self, fault_s, recovery_s):
        """Runs callers for `fault_s` seconds with faults, then `recovery_s` without."""
        for proxy in self.target_proxies:
            await proxy.start()
        await self.cluster.start()
        for target in self.targets:
            await target.start()
        tasks = [asyncio.create_task(self.run_operator()), asyncio.create_task(self.run_reader())]
        await self.wait_until_ready(20)
        tasks += [asyncio.create_task(self.run_caller(i)) for i in range(CALLERS)]
        tasks.append(asyncio.create_task(self.run_prober()))
        tasks.append(asyncio.create_task(self.run_watch()))
        await asyncio.sleep(1.5)
        await self.inject_faults(time.monotonic() + fault_s)
        await asyncio.sleep(recovery_s)
        self.check_recovery()
        self.is_ending = True
        await asyncio.wait(tasks, timeout=8)
        for task in tasks:
            if task.done() and task.exception():
                self.add_finding("the soak itself", repr(task.exception()))
            task.cancel()
        for target in self.targets:
            target.crash()
        self.cluster.kill_all()
        for end in self.cluster.ends:
            self.add_finding("ends by itself", end)
        self.check_refused_executions()

    def check_recovery(self):
        """In the last 3 s, 90 % of the requests must be served."""
        since = time.monotonic() - 3
        recent = [served for at, served in self.outcomes if at > since]
        share = sum(recent) / max(1, len(recent))
        if share < 0.9:
            self.add_finding("recovers", f"{share:.2f} of {len(recent)} requests served at the end")

    def check_refused_executions(self):
        """Unsafe requests must not have run when their status promises so."""
        for request_id, status in self.checker.statuses.items():
            if status in wire.PROMISES_NOT_RUN and self.checker.executions.get(request_id):
                if self.checker.requests[request_id][0] in UNSAFE_KINDS:
                    self.add_finding("truthful", f"{request_id} ran and got status {status}")

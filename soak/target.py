"""A simulated target. It handles each request for a random time, records it with
the checker, and injects the failures of real targets."""
import asyncio
import time

import http1
from standin import wire


def expected_body(request_id, service):
    """Returns the response body for a request id, whose length depends on the id."""
    filler = request_id.encode() * (1 + sum(request_id.encode()) % 40)
    return f"{service}:{request_id}:".encode() + filler


class Target:
    """A target listens at `real`; its node reaches it at `public`, through a proxy. It reports
    its state to its node at `node_reports`."""

    def __init__(self, name, service, domain, real, public, node_reports, checker, rng):
        self.name = name
        self.service = service
        self.domain = domain
        self.real = real
        self.public = public
        self.node_reports = node_reports
        self.checker = checker
        self.rng = rng
        self.slots = 20
        # Number of the last report of this incarnation.
        self.sequence = 0
        # Start of this incarnation, in Unix milliseconds.
        self.born = 0
        self.instance = ""
        self.server = None
        self.writers = set()
        self.running = 0
        self.is_draining = False
        # Time at which the node acknowledged the report of the drain.
        self.drain_acked = None
        # Faults, as shares of the requests: the connection closes without a response; the
        # response is cut off; a second response follows that belongs to no request.
        self.lose_answer = 0.0
        self.cut_answer = 0.0
        self.extra_answer = 0.0
        self.spoil_answer = 0.0
        # Factor on the time that a request takes.
        self.slowdown = 1.0
        self.report_task = None

    async def start(self):
        """Starts a new incarnation."""
        self.born = max(self.born + 1, int(time.time() * 1000))
        self.instance = f"i-{self.name}-{self.born}"
        self.sequence = 0
        self.is_draining = False
        self.drain_acked = None
        host, port = self.real.rsplit(":", 1)
        self.server = await asyncio.start_server(self.serve, host, int(port))
        self.report_task = asyncio.create_task(self.send_reports())

    def crash(self):
        """Stops at once: resets every connection and refuses new ones."""
        if self.server:
            self.server.close()
            self.server = None
        if self.report_task:
            self.report_task.cancel()
        for writer in list(self.writers):
            writer.transport.abort()
        self.running = 0

    async def send_report(self, state):
        self.sequence += 1
        return await http1.call(self.node_reports, "PUT", wire.report_path(self.instance),
                                {"Content-Type": "application/json"},
                                wire.report(self, state).encode())

    async def send_reports(self):
        while True:
            try:
                await self.send_report("draining" if self.is_draining else "ready")
            except (http1.ConnectionBroken, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.5)

    async def drain(self, seconds):
        """Reports that it drains, until the node acknowledges this or 5 s have passed. Then
        serves for `seconds`, withdraws from the node, and stops."""
        self.is_draining = True
        deadline = time.monotonic() + 5
        while time.monotonic() < deadline and self.drain_acked is None:
            try:
                if (await self.send_report("draining")).status == 200:
                    self.drain_acked = time.monotonic()
            except (http1.ConnectionBroken, asyncio.TimeoutError):
                await asyncio.sleep(0.2)
        await asyncio.sleep(seconds)
        self.report_task.cancel()
        try:
            await http1.call(self.node_reports, "DELETE", wire.report_path(self.instance))
        except (http1.ConnectionBroken, asyncio.TimeoutError):
            pass
        self.crash()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (request := await http1.read_message(reader)) is not None:
                if not await self.handle(request, writer):
                    break
        except (http1.ConnectionBroken, OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, request, writer):
        """Handles a request and responds. Returns whether the connection stays open."""
        fields = request.fields
        if request.start_line.split()[1] == wire.HEALTH_PATH:
            status = "503 Leaving" if self.is_draining else "200 OK"
            self.send_response(writer, status, {wire.INSTANCE: self.instance})
            return True
        request_id = fields.get(wire.REQUEST_ID, "")
        if fields.get(wire.EXPECTED_INSTANCE) not in (None, self.instance):
            self.send_response(writer, "421 Misdirected Request", {wire.INSTANCE: self.instance})
            return True
        if self.running >= self.slots * 2:
            self.send_response(writer, "503 Full", {wire.REQUEST_ID: request_id, wire.NOT_RUN: "1"})
            return True
        self.checker.on_execution_start(self, request_id, request)
        incarnation = self.instance
        self.running += 1
        try:
            await asyncio.sleep(self.rng.uniform(0.005, 0.06) * self.slowdown)
        finally:
            self.running = max(0, self.running - 1)
            self.checker.on_execution_end(request_id)
        # The target has crashed or restarted meanwhile.
        if incarnation != self.instance or self.server is None:
            return False
        if self.rng.random() < self.lose_answer:
            writer.transport.abort()
            return False
        body = expected_body(request_id, self.service)
        head = {wire.REQUEST_ID: request_id, wire.PROOF: wire.proof_of(request_id, body)}
        if self.rng.random() < self.cut_answer:
            writer.write(http1.encode("HTTP/1.1 200 OK", head, body)[:-len(body) // 2])
            return False
        if self.rng.random() < self.spoil_answer:
            writer.write(self.make_spoiled_answer(request_id, body))
            await writer.drain()
            return False
        self.send_response(writer, "200 OK", head, body)
        if self.rng.random() < self.extra_answer:
            stale = {**head, wire.REQUEST_ID: "stale-" + request_id}
            self.send_response(writer, "200 OK", stale, b"stale")
        return True

    def make_spoiled_answer(self, request_id, body):
        """Returns bytes that are no complete response to the request."""
        head = (f"HTTP/1.1 200 OK\r\n{wire.REQUEST_ID}: {request_id}\r\n"
                f"{wire.PROOF}: {wire.proof_of(request_id, body)}\r\n").encode()
        chunked = head + b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"
        noise = bytes(self.rng.randrange(256) for _ in range(self.rng.randrange(1, 400)))
        return self.rng.choice((
            noise, b"HTTP/1.1 " + noise, head + noise, chunked + noise,
            head + b"X-Filler: " + b"a" * 70_000 + b"\r\n\r\n",
            head + b"Content-Length: -1\r\n\r\n" + body,
            head + b"Content-Length: 99999999999999999999\r\n\r\n" + body,
            chunked + b"0\r\nX-Filler: " + b"a" * 70_000 + b"\r\n\r\n",
            chunked + b"f" * 300_000, chunked + b"5;x=" + b"a" * 300_000,
            b"HTTP/1.1 100 Continue\r\n\r\n" * 1000))

    def send_response(self, writer, status, fields, body=b""):
        load = {wire.LOAD: f"{self.running},0,{self.slots},100"}
        writer.write(http1.encode(f"HTTP/1.1 {status}", {**fields, **load}, body))

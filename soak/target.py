"""A stand-in target: runs requests for a while, keeps count of each, and
fails in the ways that targets do."""
import asyncio
import time

import http1
from standin import wire


def expected_body(request, service):
    """The whole answer to a request; its length follows from the id."""
    filler = request.encode() * (1 + sum(request.encode()) % 40)
    return f"{service}:{request}:".encode() + filler


class Target:
    def __init__(self, name, service, domain, real, public, node_reports, ledger, rng):
        self.name = name
        self.service = service
        self.domain = domain
        self.real = real
        self.public = public
        self.node_reports = node_reports
        self.ledger = ledger
        self.rng = rng
        self.slots = 20
        self.sequence = 0
        self.born = 0
        self.instance = ""
        self.server = None
        self.writers = set()
        self.running = 0
        self.draining = False
        self.drain_acked = None
        # Faults: shares of requests.
        self.lose_answer = 0.0
        self.cut_answer = 0.0
        self.extra_answer = 0.0
        self.slow = 1.0
        self.beat_task = None

    async def start(self):
        self.born = max(self.born + 1, int(time.time() * 1000))
        self.instance = f"i-{self.name}-{self.born}"
        self.sequence = 0
        self.draining = False
        self.drain_acked = None
        host, port = self.real.rsplit(":", 1)
        self.server = await asyncio.start_server(self.serve, host, int(port))
        self.beat_task = asyncio.create_task(self.beat())

    def crash(self):
        """Ends at once: every connection is reset and the port refuses."""
        if self.server:
            self.server.close()
            self.server = None
        if self.beat_task:
            self.beat_task.cancel()
        for writer in list(self.writers):
            writer.transport.abort()
        self.running = 0

    async def send_report(self, state):
        self.sequence += 1
        return await http1.call(self.node_reports, "PUT", wire.report_path(self.instance),
                                {"Content-Type": "application/json"},
                                wire.report(self, state).encode())

    async def beat(self):
        while True:
            try:
                await self.send_report("draining" if self.draining else "ready")
            except (http1.Broken, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.5)

    async def drain(self, seconds):
        """Says that it leaves, serves on for a while, and withdraws."""
        self.draining = True
        until = time.monotonic() + 5
        while time.monotonic() < until and self.drain_acked is None:
            try:
                if (await self.send_report("draining")).status == 200:
                    self.drain_acked = time.monotonic()
            except (http1.Broken, asyncio.TimeoutError):
                await asyncio.sleep(0.2)
        await asyncio.sleep(seconds)
        self.beat_task.cancel()
        try:
            await http1.call(self.node_reports, "DELETE", wire.report_path(self.instance))
        except (http1.Broken, asyncio.TimeoutError):
            pass
        self.crash()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (request := await http1.read_message(reader)) is not None:
                if not await self.answer(request, writer):
                    break
        except (http1.Broken, OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, request, writer):
        """Returns whether the connection goes on."""
        fields = request.fields
        if request.first.split()[1] == wire.HEALTH_PATH:
            status = "503 Leaving" if self.draining else "200 OK"
            self.send(writer, status, {wire.INSTANCE: self.instance})
            return True
        rid = fields.get(wire.REQUEST_ID, "")
        if fields.get(wire.EXPECTED_INSTANCE) not in (None, self.instance):
            self.send(writer, "421 Misdirected Request", {wire.INSTANCE: self.instance})
            return True
        if self.running >= self.slots * 2:
            self.send(writer, "503 Full", {wire.REQUEST_ID: rid, wire.NOT_RUN: "1"})
            return True
        self.ledger.arrived(self, rid, request)
        incarnation = self.instance
        self.running += 1
        try:
            await asyncio.sleep(self.rng.uniform(0.005, 0.06) * self.slow)
        finally:
            self.running = max(0, self.running - 1)
        if incarnation != self.instance or self.server is None:
            return False
        self.ledger.ended(rid)
        if self.rng.random() < self.lose_answer:
            writer.transport.abort()
            return False
        body = expected_body(rid, self.service)
        head = {wire.REQUEST_ID: rid, wire.PROOF: wire.proof_of(rid, body)}
        if self.rng.random() < self.cut_answer:
            writer.write(http1.encode("HTTP/1.1 200 OK", head, body)[:-len(body) // 2])
            return False
        self.send(writer, "200 OK", head, body)
        if self.rng.random() < self.extra_answer:
            stale = {**head, wire.REQUEST_ID: "stale-" + rid}
            self.send(writer, "200 OK", stale, b"stale")
        return True

    def send(self, writer, status, fields, body=b""):
        load = {wire.LOAD: f"{self.running},0,{self.slots},100"}
        writer.write(http1.encode(f"HTTP/1.1 {status}", {**fields, **load}, body))

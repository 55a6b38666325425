"""Checks what callers and targets observe against the guarantees of the system."""
import time

from standin import wire

# Time after the acknowledged drain of a target from which no request may reach it.
DRAIN_S = 2.0
# Kinds of requests that may run once at most.
UNSAFE_KINDS = ("unsafe", "upload")


class Checker:
    """Records executions and responses by request id, and collects findings.

    With `timeless`, guarantees with a time bound aren't checked.
    """

    def __init__(self, services_by_prefix, timeless):
        self.timeless = timeless
        # Services that any document so far names for a path prefix.
        self.services_by_prefix = services_by_prefix
        # Kind and path prefix of each request that was sent.
        self.requests = {}
        # Number of executions that targets have started, by request.
        self.executions = {}
        # Requests that a target is running.
        self.running = set()
        # Status of each response that a caller received.
        self.statuses = {}
        self.findings = []
        # Responses with status 200.
        self.served = 0
        # Executions that have finished.
        self.ended_count = 0
        self.quiet_since = None

    def add_finding(self, rule, text):
        self.findings.append(f"{rule}: {text}")

    def on_execution_start(self, target, request_id, request):
        now = time.monotonic()
        self.running.add(request_id)
        self.executions[request_id] = self.executions.get(request_id, 0) + 1
        sent = self.requests.get(request_id)
        if sent is None:
            self.add_finding("unasked", f"target {target.name} got {request_id!r}, "
                                        "which no caller sent")
            return
        request_kind, prefix = sent
        if request_kind in UNSAFE_KINDS and self.executions[request_id] > 1:
            self.add_finding("at most once", f"{request_kind} request {request_id} ran "
                                             f"{self.executions[request_id]} times")
        if target.service not in self.services_by_prefix[prefix]:
            self.add_finding("route", f"{request_id} of {prefix} ran at {target.service}")
        if not self.timeless and target.drain_acked and now > target.drain_acked + DRAIN_S:
            self.add_finding("drain", f"{request_id} reached {target.name} "
                                      f"{now - target.drain_acked:.2f} s after its drain was acked")
        status = self.statuses.get(request_id)
        if status in wire.PROMISES_NOT_RUN:
            self.add_finding("truthful",
                             f"{request_id} ran after its response with status {status}")
        if not request.fields.get(wire.TIME_LEFT):
            self.add_finding("deadline", f"{request_id} was forwarded without its remaining time")
        if not request.fields.get(wire.CALLER_SERVICE):
            self.add_finding("caller", f"{request_id} was forwarded without its caller's service")

    def on_execution_end(self, request_id):
        """The target has finished the request or dropped it."""
        self.running.discard(request_id)
        self.ended_count += 1

    def on_response(self, request_id, status):
        self.statuses[request_id] = status
        if status == 200:
            self.served += 1
        if status in wire.PROMISES_NOT_RUN and self.executions.get(request_id):
            self.add_finding("truthful",
                             f"{request_id} ran before its response with status {status}")

"""What callers and targets have seen, and the promises it is held against."""
import time

from standin import wire

DRAIN_S = 2.0
UNSAFE_KINDS = ("unsafe", "upload")


class Ledger:
    def __init__(self, allowed, timeless):
        self.timeless = timeless
        # Services to which any document has let a kind of request go.
        self.allowed = allowed
        self.kinds = {}
        self.runs = {}
        self.answers = {}
        self.findings = []
        self.served = 0
        self.ended_count = 0
        self.quiet_since = None

    def find(self, rule, text):
        self.findings.append(f"{rule}: {text}")

    def arrived(self, target, rid, request):
        now = time.monotonic()
        self.runs[rid] = self.runs.get(rid, 0) + 1
        kind = self.kinds.get(rid)
        if kind is None:
            self.find("unasked", f"target {target.name} got {rid!r}, which nobody sent")
            return
        name, prefix = kind
        if name in UNSAFE_KINDS and self.runs[rid] > 1:
            self.find("at most once", f"{name} request {rid} ran {self.runs[rid]} times")
        if target.service not in self.allowed[prefix]:
            self.find("route", f"{rid} of {prefix} ran at {target.service}")
        if not self.timeless and target.drain_acked and now > target.drain_acked + DRAIN_S:
            self.find("drain", f"{rid} reached {target.name} "
                               f"{now - target.drain_acked:.2f} s after its ack")
        answer = self.answers.get(rid)
        if answer in wire.PROMISES_NOT_RUN:
            self.find("truthful", f"{rid} was answered {answer} and ran later")
        if not request.fields.get(wire.TIME_LEFT):
            self.find("deadline", f"{rid} was passed on without its time left")
        if not request.fields.get(wire.CALLER_SERVICE):
            self.find("caller", f"{rid} was passed on without its caller's service")

    def ended(self, rid):
        self.ended_count += 1

    def answered(self, rid, status):
        self.answers[rid] = status
        if status == 200:
            self.served += 1
        if status in wire.PROMISES_NOT_RUN and self.runs.get(rid):
            self.find("truthful", f"{rid} was answered {status} after it had run")

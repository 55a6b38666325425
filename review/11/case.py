"""Clients leave while a long answer is on its way to them. What do the upstreams see?"""
import os
import random
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "rig3"))
import target as standin  # noqa: E402
from rig import (CannotRun, HOST, INTERNAL_PORTS, OUTBOUND_PORT, READY_PORT, CONTROL_PORT, Rig, call,  # noqa: E402
                 make_config, make_route, operator_call)

SLOTS = 18              # as sortierung has
LONG_BYTES = 16_000_000
SHORT_BYTES = 4_000
PART_BYTES = 50_000
READ_BYTES = 65_536     # a client reads 4 MB a second,
READ_S = 0.016          # so that a long answer takes 4 s
WINDOW_BYTES = 262_144  # links have small windows
TIMEOUT_MS = 8000
CLIENTS = 10            # of which READERS ask for long answers, the others for short ones
READERS = 3             # a share of 0.3
LEAVE_MS = 1250         # half of the objective of 2,500 ms
TROUBLE_S = 45
AFTER_S = 20
UNREAD_S = 5            # an upstream cuts off an answer that stays unread


class Handler(standin.Handler):
    """Sends long answers, and notes when it stopped to work on a request."""

    def serve(self):
        if self.path == "/healthz":
            super().serve()
            return
        self.read_body()
        target, request = self.target, self.headers["X-Request-Id"]
        if self.headers.get("X-Expect-Instance") != target.id:
            self.reply(421, b"", {"X-Request-Id": request, "X-Not-Executed": "1"})
            return
        if not target.free.acquire(timeout=int(self.headers["X-Deadline-Ms"]) / 1000):
            self.reply(503, b"", {"X-Request-Id": request, "X-Not-Executed": "1"})
            return
        started = target.rig.now()
        WORK[request] = [started, None]
        self.connection.settimeout(UNREAD_S)
        self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, WINDOW_BYTES)
        try:
            self.send_response(200)
            self.send_header("X-Request-Id", request)
            self.send_header("X-Server-Seal", "seal")
            left = LONG_BYTES if self.path.startswith("/class/long") else SHORT_BYTES
            self.send_header("Content-Length", str(left))
            self.end_headers()
            while left > 0:
                self.wfile.write(b"a" * min(left, PART_BYTES))
                left -= PART_BYTES
            how = "written"
        except OSError as error:
            how = f"given up: {error}"
            self.close_connection = True
        finally:
            target.free.release()
        WORK[request][1] = target.rig.now()
        target.rig.note(f"{target.id} ran {request} for {WORK[request][1] - started:.2f} s, {how}")

    do_GET = serve


WORK = {}       # by request: start and end of the work on it at an upstream
LEFT = {}       # by request: when its client closed its connection
ANSWERS = []    # (time, request, status or "cut", whole)


def ask(rig, machine, request, is_long, leave_after):
    """One client attempt on a connection of its own."""
    wanted = LONG_BYTES if is_long else SHORT_BYTES
    sent = rig.now()
    status, size = None, 0
    try:
        with socket.socket() as connection:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
            connection.settimeout(1)
            connection.connect((machine.ip, OUTBOUND_PORT))
            connection.sendall((f"GET /class/{'long' if is_long else 'short'}/{request} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {request}\r\n"
                                f"X-Deadline-Ms: {TIMEOUT_MS}\r\n\r\n").encode())
            head = b""
            while True:
                left = TIMEOUT_MS / 1000 + 1 if leave_after is None else sent + leave_after - rig.now()
                if left <= 0:
                    LEFT[request] = rig.now()
                    break
                connection.settimeout(left)
                try:
                    part = connection.recv(READ_BYTES)
                except TimeoutError:
                    continue
                if not part:
                    break
                size += len(part)
                head += part if len(head) < 500 else b""
                if status is None and b"\r\n\r\n" in head:
                    status = int(head.split()[1])
                if status is not None and (status != 200 or size >= wanted):
                    break
                time.sleep(READ_S)
    except OSError as error:
        status = f"cut ({error})"
    if request in LEFT:
        rig.note(f"the client of {request} leaves after {LEFT[request] - sent:.2f} s, {size} bytes")
    else:
        ANSWERS.append((sent, request, status, size >= wanted))
        rig.note(f"{request} is answered {status}, {size} bytes, after {rig.now() - sent:.2f} s")


def run(rig, trouble):
    core = [rig.add("control", number, zone) for number, zone in ((11, "a"), (12, "b"), (13, "c"))]
    side = [rig.add("node", number, zone, "sortierung") for number, zone in ((21, "a"), (22, "b"))]
    rig.seeds = [f"{machine.ip}:{CONTROL_PORT}" for machine in core]
    for machine in rig.machines:
        machine.start()
    for machine in side:
        upstream = standin.Target(rig, machine, "sortierung", slots=SLOTS)
        upstream.server.RequestHandlerClass = type("H", (Handler,), {"target": upstream})
    config = make_config(5, [make_route("r", "/class/", "safe", "sortierung", TIMEOUT_MS)], ["sortierung"])
    until = rig.now() + 15
    while operator_call([machine.ip for machine in core], "PUT", config)[0] != 200:
        if rig.now() > until:
            raise CannotRun("no config was accepted")
        time.sleep(0.3)
    while any(call(machine.ip, READY_PORT, "GET", "/hemlockpoint/readyz")[0] != 200 for machine in side):
        if rig.now() > until:
            raise CannotRun("the nodes aren't ready")
        time.sleep(0.3)
    time.sleep(3)
    is_trouble, is_over = [trouble], [False]

    def client(number):
        draw = random.Random(number)
        count = 0
        while not is_over[0]:
            count += 1
            is_long = number < READERS
            leaves = is_trouble[0] and is_long
            if is_long and trouble and not leaves:
                return
            ask(rig, side[number % len(side)], f"c{number}-{count}", is_long,
                draw.uniform(0.2, LEAVE_MS / 1000) if leaves else None)
            time.sleep(draw.uniform(0.05, 0.3))

    clients = [threading.Thread(target=client, args=(number,)) for number in range(CLIENTS)]
    for thread in clients:
        thread.start()
    time.sleep(TROUBLE_S)
    is_trouble[0] = False
    rig.note("all clients stay from here on")
    time.sleep(10)
    calm_from = rig.now()
    time.sleep(AFTER_S)
    is_over[0] = True
    for thread in clients:
        thread.join()
    time.sleep(1)
    long_enough = [request for request in LEFT if request in WORK and WORK[request][0] < LEFT[request] and
                   WORK[request][0] + LONG_BYTES / READ_BYTES * READ_S > LEFT[request] + 0.5]
    at_work = [request for request in long_enough
               if WORK[request][1] is None or WORK[request][1] > LEFT[request] + 0.5]
    calm = [answer for answer in ANSWERS if answer[0] > calm_from]
    served = sum(answer[3] for answer in calm)
    rig.note(f"clients that left: {len(LEFT)}; at an upstream, with more than 0.5 s of work left: "
             f"{len(long_enough)}; still at work 0.5 s later: {len(at_work)}")
    rig.note(f"requests of clients that stay, from 10 s after the last one left: {len(calm)}, served {served}")
    gauges = call(side[0].ip, INTERNAL_PORTS[1], "GET", "/metrics")[2].decode().splitlines()
    rig.note(" ".join(line for line in gauges if "_running" in line and "#" not in line))
    print(f"GONE: {len(at_work)} of {len(long_enough)}; served afterwards: {served} of {len(calm)}")
    if not calm:
        raise CannotRun("no requests")
    return len(long_enough) >= 20 and len(at_work) * 4 > len(long_enough) and served * 4 < len(calm)


def main():
    rig = Rig(sys.argv[1])
    try:
        is_broken = run(rig, os.environ.get("TROUBLE") != "0")
        rig.note("GONE is broken, and the nodes serve nothing more" if is_broken else "the rule held")
        return 1 if is_broken else 0
    except CannotRun as error:
        rig.note(f"couldn't run: {error}")
        return 2
    finally:
        rig.close()


sys.exit(main())

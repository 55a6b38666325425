"""What surrounds daemons on real hosts: limits of the system, ports that other programs
hold when they start, and bursts of callers."""
import asyncio
import resource
import socket
import time

import http1

MIB = 1024 * 1024
# Limits of the processes by role, as real hosts set them.
LIMITS = {"node": ((resource.RLIMIT_NOFILE, 4100), (resource.RLIMIT_AS, 260 * MIB)),
          "control": ((resource.RLIMIT_NOFILE, 4096), (resource.RLIMIT_AS, 256 * MIB))}
# Symbols of programs that reserve terabytes of address space and can't run under limits.
SANITIZERS = (b"__asan_init", b"__tsan_init")
EVENTS_OF_ENDS = ("event=crashed", "event=crash_frames", "event=start_failed")
BURST_CONNECT_S = 2
STORM_S = 3
STORM_GAP_S = 0.1


def can_be_limited(binary):
    with open(binary, "rb") as file:
        program = file.read()
    return not any(symbol in program for symbol in SANITIZERS)


def apply_limits(role):
    """Limits the calling process."""
    for name, limit in LIMITS[role]:
        resource.setrlimit(name, (limit, limit))


def describe_end(log_path, offset):
    """Returns the lines from `offset` of a log that tell why its process ended, or its last
    line."""
    with open(log_path, errors="replace") as log:
        log.seek(offset)
        lines = log.read().splitlines()
    told = [line for line in lines if any(event in line for event in EVENTS_OF_ENDS)]
    return " | ".join(told or lines[-1:] or ["an empty log"])


class PortHold:
    """Holds an address with a listener, or as the local address of a connection to `peer`.
    Raises OSError when another socket has it."""

    def __init__(self, address, peer=None):
        self.sockets = [socket.socket()]
        held = self.sockets[0]
        # Connections of the former process must not prevent this.
        held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            held.bind(address)
            if peer is None:
                held.listen()
                return
            # Most programs that connect don't share their port.
            held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 0)
            acceptor = socket.socket()
            self.sockets.append(acceptor)
            acceptor.bind((peer, 0))
            acceptor.listen()
            held.connect(acceptor.getsockname())
        except OSError:
            self.release()
            raise

    def release(self):
        # Closing the acceptor resets the connection, which nobody has accepted, so that it
        # doesn't hold the address in TIME_WAIT.
        for held in reversed(self.sockets):
            held.close()


async def hold_burst(address, requests, seconds):
    """Sends each of `requests` (start line and fields) on a connection of its own, without
    the end of its body, and closes all of them after `seconds`."""
    async def send(start_line, fields):
        host, port = address.rsplit(":", 1)
        try:
            _, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)),
                                               BURST_CONNECT_S)
        except (OSError, asyncio.TimeoutError):
            return None
        writer.write(http1.encode(start_line, fields, bytes(100))[:-97])
        return writer
    writers = await asyncio.gather(*[send(*request) for request in requests])
    await asyncio.sleep(seconds)
    for writer in filter(None, writers):
        writer.transport.abort()


async def pause_changes(run, seconds):
    """Waits until the next change of the document is due; a storm shortens the wait."""
    until = time.monotonic() + seconds
    while time.monotonic() < until and not run.is_storm:
        await asyncio.sleep(0.05)
    if run.is_storm:
        await asyncio.sleep(STORM_GAP_S)


async def send_storm(run):
    """Lets the operator of a run change the document each 0.1 s while half of the nodes stand
    still."""
    half = run.cluster.nodes[run.rng.randint(0, 1)::2]
    stalled = [node for node in half if node.is_alive() and not node.is_paused
               and node.name not in run.stopped_at]
    run.is_storm = True
    for node in stalled:
        node.pause()
    await asyncio.sleep(STORM_S)
    for node in stalled:
        node.resume()
    run.is_storm = False

#!/usr/bin/env python3
"""Sends bodies to a daemon whose address space is limited.

usage: heap_test.py --build DIR
"""
import argparse
import os
import resource
import socket
import time
import unittest

from daemon import ROUTE_MODE, Daemon

MIB = 1024 * 1024
CONNECTIONS = 900
READ_S = 3
HEAD = (b"PUT / HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\n"
        b"Content-Length: 1000000\r\n\r\n")
UPGRADE = (b"GET /hemlock/v1/peer HTTP/1.1\r\nHost: a\r\nUpgrade: websocket\r\n"
           b"Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
           b"Sec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n")
# The head of a masked binary frame of 1,000,000 bytes.
FRAME = b"\x82\xff" + (1_000_000).to_bytes(8, "big") + bytes(4)
# The body is incomplete, so that the daemon keeps it.
BODY = b"x" * 990_000


class HeapTest(unittest.TestCase):
    binary = ""

    def test_bodies_of_operators_are_bounded(self):
        """Guards against a process that ends because the bodies sent to its admin port fill its
        address space."""
        self.check_survives("127.0.98.1", 7002, HEAD + BODY)

    def test_messages_of_unknown_peers_are_bounded(self):
        """Guards against the same by messages on links that haven't said who they are."""
        self.check_survives("127.0.98.2", 7001, UPGRADE + FRAME + BODY)

    def check_survives(self, address, port, data):
        daemon = Daemon(self.binary, ROUTE_MODE, address, [(resource.RLIMIT_AS, 260 * MIB)])
        self.addCleanup(daemon.close)
        daemon.start()
        self.assertTrue(daemon.await_event("started"), daemon.log())
        connections = []
        for _ in range(CONNECTIONS):
            try:
                connection = socket.create_connection((address, port), 1)
                connections.append(connection)
                connection.sendall(data)
            except OSError:
                pass
            if daemon.process.poll() is not None:
                break
        # It may still have to read most of the data.
        time.sleep(READ_S)
        self.assertIsNone(daemon.process.poll(), daemon.log()[-2000:])
        for connection in connections:
            connection.close()


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--build", required=True)
    arguments, rest = parser.parse_known_args()
    HeapTest.binary = os.path.join(arguments.build, "src", "hemlockpointd", "hemlockpointd")
    unittest.main(argv=["heap_test.py"] + rest)


if __name__ == "__main__":
    main()

#!/usr/bin/env python3
"""Puts load on a daemon whose memory is limited by the system.

usage: limits_test.py --build DIR
"""
import argparse
import os
import resource
import socket
import time
import unittest

from daemon import ROUTE_MODE, Daemon

MIB = 1024 * 1024
LIMIT = 260 * MIB
ANSWER_S = 5
RECOVERY_S = 10
# Their body doesn't arrive, so each of them stays in progress.
UNFINISHED_REQUEST = (b"POST /a/ HTTP/1.1\r\nHost: a\r\nX-Request-Id: 1\r\n"
                      b"Content-Length: 100\r\n\r\nabc")


def exchange(address, port, path):
    """Returns the first line of the response to a GET."""
    with socket.create_connection((address, port), ANSWER_S) as connection:
        connection.sendall(f"GET {path} HTTP/1.1\r\nHost: a\r\nX-Request-Id: 2\r\n"
                           "Connection: close\r\n\r\n".encode())
        return connection.recv(4096).split(b"\r\n")[0].decode()


class LimitsTest(unittest.TestCase):
    binary = ""

    def await_refusal(self, daemon, address):
        """Waits until the daemon answers requests again."""
        deadline = time.monotonic() + RECOVERY_S
        answer = ""
        while time.monotonic() < deadline and "503" not in answer:
            try:
                answer = exchange(address, 7003, "/a/")
            except OSError:
                time.sleep(0.05)
            self.assertIsNone(daemon.process.poll(), daemon.log()[-2000:])
        self.assertIn("503", answer)

    def check_requests_are_rejected(self, limits, address, requests):
        daemon = Daemon(self.binary, ROUTE_MODE.replace("stop_within_s", "connections = 3000\n"
                                                        "stop_within_s"), address, limits)
        self.addCleanup(daemon.close)
        daemon.start()
        self.assertTrue(daemon.await_event("started"), daemon.log())
        connections = []
        for _ in range(requests):
            try:
                connection = socket.create_connection((address, 7003), ANSWER_S)
                connections.append(connection)
                connection.sendall(UNFINISHED_REQUEST)
            except OSError:
                pass
            if daemon.process.poll() is not None:
                break
        self.assertTrue(daemon.await_event("connection_rejected"), daemon.log()[-2000:])
        self.assertTrue(daemon.await_event("request_rejected"), daemon.log()[-2000:])
        # Readiness checks don't compete with requests.
        self.assertIn("HTTP/1.1", exchange(address, 7004, "/"))
        for connection in connections:
            connection.close()
        # It has no document, so it refuses the request.
        self.await_refusal(daemon, address)

    def test_requests_over_the_address_space_are_rejected(self):
        """Guards against a process that ends once the stacks of its requests fill its address
        space."""
        self.check_requests_are_rejected([(resource.RLIMIT_AS, LIMIT)], "127.0.95.1", 2500)

    def test_requests_over_the_data_segment_are_rejected(self):
        """Guards against the same where the limit is on the data segment."""
        self.check_requests_are_rejected([(resource.RLIMIT_DATA, LIMIT)], "127.0.95.2", 2500)

    def test_a_deeply_nested_settings_file_is_refused(self):
        """Guards against a process that ends because a file overflows the stack of its
        parser."""
        address = "127.0.95.4"
        documents = ["x = " + "[" * 250, "x = " + "{a=" * 250, ".".join(["a"] * 10000) + " = 1",
                     "[" + ".".join(["a"] * 10000) + "]"]
        daemon = Daemon(self.binary, ROUTE_MODE, address)
        self.addCleanup(daemon.close)
        daemon.start()
        self.assertTrue(daemon.await_event("started"), daemon.log())
        for count, document in enumerate(documents):
            with open(daemon.path, "w") as file:
                file.write(document + "\n")
            deadline = time.monotonic() + RECOVERY_S
            while time.monotonic() < deadline and (
                    daemon.log().count("event=reload_refused") <= count):
                self.assertIsNone(daemon.process.poll(), daemon.log()[-2000:])
                time.sleep(0.05)
            self.assertEqual(daemon.log().count("nested too deeply"), count + 1)

    def test_a_log_file_that_has_reached_its_size_limit(self):
        """Guards against a process that ends because its log can't grow."""
        address = "127.0.95.3"
        daemon = Daemon(self.binary, ROUTE_MODE, address, [(resource.RLIMIT_FSIZE, 4096)])
        self.addCleanup(daemon.close)
        daemon.start()
        self.assertTrue(daemon.await_event("started"), daemon.log())
        for _ in range(100):
            self.assertIn("503", exchange(address, 7003, "/a/"))
        time.sleep(0.5)
        self.assertIn("503", exchange(address, 7003, "/a/"))
        self.assertIsNone(daemon.process.poll())


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--build", required=True)
    arguments, rest = parser.parse_known_args()
    LimitsTest.binary = os.path.join(arguments.build, "src", "hemlockpointd", "hemlockpointd")
    unittest.main(argv=["limits_test.py"] + rest)


if __name__ == "__main__":
    main()

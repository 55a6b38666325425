#!/usr/bin/env python3
"""Starts a daemon while another program holds what it needs.

usage: start_test.py --build DIR
"""
import argparse
import fcntl
import os
import signal
import socket
import time
import unittest

from daemon import ROUTE_MODE, Daemon

HELD_S = 1.5
STOP_S = 10
# The system's 60 s, with some tolerance for a busy host.
TIME_WAIT_S = 80

CONTROL_HOST = """[node]
name = "c1"
group = "start"
region = "r"
failure_domain = "a"
roles = ["control"]
serves = "routes"
[listen]
peer = "{ip}:7001"
admin = "{ip}:7002"
outside = "{ip}:7005"
[control]
seeds = ["{ip}:7001"]
form_group = true
data_folder = "DATA"
"""


def listen(address, port):
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((address, port))
    listener.listen()
    return listener


def bind_at_unused_address(port):
    """Returns a socket with this port, and its address. The ports of a former run of this test
    are still kept."""
    for last_byte in range(20, 250):
        connection = socket.socket()
        address = f"127.0.96.{last_byte}"
        try:
            connection.bind((address, port))
            return connection, address
        except OSError:
            connection.close()
    raise RuntimeError("no address is unused")


class StartTest(unittest.TestCase):
    binary = ""

    def start(self, settings, address):
        daemon = Daemon(self.binary, settings, address)
        self.addCleanup(daemon.close)
        daemon.start()
        return daemon

    def test_waits_for_a_port_that_is_held(self):
        """Guards against a process that ends at its start because a port is still held."""
        for index, port in enumerate((7001, 7002, 7003, 7004, 7005)):
            with self.subTest(port=port):
                address = f"127.0.96.{index + 1}"
                listener = listen(address, port)
                daemon = self.start(ROUTE_MODE, address)
                time.sleep(HELD_S)
                listener.close()
                self.assertTrue(daemon.await_event("started"),
                                f"exit {daemon.process.poll()}: {daemon.log()}")

    def test_waits_for_a_port_of_a_connection(self):
        """Guards against the same where a connection of another program has the port."""
        address = "127.0.96.11"
        with listen(address, 7099) as peer, socket.socket() as connection:
            connection.bind((address, 7001))
            connection.connect((address, 7099))
            accepted, _ = peer.accept()
            daemon = self.start(ROUTE_MODE, address)
            time.sleep(HELD_S)
            # Closed without TIME_WAIT, which wouldn't hold the port anyway.
            accepted.close()
        self.assertTrue(daemon.await_event("started"),
                        f"exit {daemon.process.poll()}: {daemon.log()}")

    def test_names_the_system_error_of_a_port_that_stays_held(self):
        """Guards against a start that waits or fails without the system's error."""
        address = "127.0.96.12"
        with listen(address, 7001):
            daemon = self.start(ROUTE_MODE, address)
            self.assertTrue(daemon.await_event("start_waits"), daemon.log())
            daemon.process.send_signal(signal.SIGTERM)
            daemon.process.wait(STOP_S)
        self.assertRegex(daemon.log(), "event=start_waits .*Address already in use")
        self.assertRegex(daemon.log(), "event=start_failed .*Address already in use")

    def test_waits_for_a_port_of_a_connection_that_has_ended(self):
        """Guards against a start that fails because the system keeps the port of a connection."""
        connection, address = bind_at_unused_address(7001)
        with listen(address, 7099) as peer:
            connection.connect((address, 7099))
            accepted, _ = peer.accept()
            # The side that closes first stays in TIME_WAIT.
            connection.close()
            accepted.close()
        daemon = self.start(ROUTE_MODE, address)
        deadline = time.monotonic() + TIME_WAIT_S
        while time.monotonic() < deadline and "event=started" not in daemon.log():
            self.assertIsNone(daemon.process.poll(), daemon.log())
            time.sleep(0.2)
        self.assertIn("event=started", daemon.log())

    def test_waits_for_a_data_folder_that_is_in_use(self):
        """Guards against a process that ends because its former one hasn't quite ended."""
        daemon = Daemon(self.binary, CONTROL_HOST, "127.0.96.13")
        self.addCleanup(daemon.close)
        folder = os.path.join(daemon.folder.name, "data")
        daemon.settings = daemon.settings.replace("DATA", folder)
        os.mkdir(folder)
        with open(os.path.join(folder, "lock"), "w") as lock:
            fcntl.flock(lock, fcntl.LOCK_EX)
            daemon.start()
            time.sleep(HELD_S)
        self.assertTrue(daemon.await_event("started"),
                        f"exit {daemon.process.poll()}: {daemon.log()}")


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--build", required=True)
    arguments, rest = parser.parse_known_args()
    StartTest.binary = os.path.join(arguments.build, "src", "hemlockpointd", "hemlockpointd")
    unittest.main(argv=["start_test.py"] + rest)


if __name__ == "__main__":
    main()

#!/usr/bin/env python3
"""Sends signals to a daemon at moments at which they must not end it.

usage: signals_test.py --build DIR
"""
import argparse
import os
import signal
import subprocess
import tempfile
import time
import unittest

START_S = 10
STOP_S = 10

ROUTE_MODE = """[node]
name = "n1"
group = "signals"
region = "r"
failure_domain = "a"
roles = ["node"]
serves = "routes"
[listen]
peer = "{ip}:7001"
admin = "{ip}:7002"
http = "{ip}:7003"
ready = "{ip}:7004"
outside = "{ip}:7005"
[target]
endpoint = "{ip}:7006"
service = "stock"
[control]
seeds = ["{ip}:7007"]
[limits]
stop_within_s = 4
"""

POLICY_MODE = """[node]
name = "n1"
group = "signals"
region = "r"
failure_domain = "a"
roles = ["node"]
[listen]
peer = "{ip}:7001"
admin = "{ip}:7002"
http = "{ip}:7003"
[control]
hosts = [{{ name = "c1", peer = "{ip}:7007" }}]
[log]
level = "info"
"""


class Daemon:
    """A daemon that can be held while it reads its settings, which is before it
    has installed any handler."""

    def __init__(self, binary, settings, address):
        self.folder = tempfile.TemporaryDirectory(prefix="hemlockpoint-signals-")
        self.settings = settings.format(ip=address)
        self.path = os.path.join(self.folder.name, "settings.toml")
        self.log_path = os.path.join(self.folder.name, "log")
        self.binary = binary
        self.process = None
        self.pipe = None

    def spawn(self, stdout):
        self.process = subprocess.Popen([self.binary, "--settings", self.path], stdout=stdout,
                                        stderr=subprocess.STDOUT)

    def hold(self):
        """Starts the process and returns once it waits for its settings."""
        os.mkfifo(self.path)
        with open(self.log_path, "w") as log:
            self.spawn(log)
        # Returns when the process has opened the other end.
        self.pipe = open(self.path, "w")

    def release(self):
        final = self.path + ".final"
        with open(final, "w") as file:
            file.write(self.settings)
        # The settings are read again each second.
        os.rename(final, self.path)
        self.pipe.write(self.settings)
        self.pipe.close()

    def start(self, stdout=None):
        with open(self.path, "w") as file:
            file.write(self.settings)
        with open(self.log_path, "w") as log:
            self.spawn(stdout or log)

    def log(self):
        with open(self.log_path) as file:
            return file.read()

    def await_event(self, event):
        deadline = time.monotonic() + START_S
        while time.monotonic() < deadline:
            if f"event={event}" in self.log():
                return True
            if self.process.poll() is not None:
                return False
            time.sleep(0.02)
        return False

    def close(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.folder.cleanup()


class SignalsTest(unittest.TestCase):
    binary = ""

    def make_daemon(self, settings, address):
        daemon = Daemon(self.binary, settings, address)
        self.addCleanup(daemon.close)
        return daemon

    def test_reload_during_the_start_is_done_after_it(self):
        """Guards against a process that ends because it is told to reload while it starts."""
        daemon = self.make_daemon(ROUTE_MODE, "127.0.94.1")
        daemon.hold()
        daemon.process.send_signal(signal.SIGHUP)
        daemon.release()
        self.assertTrue(daemon.await_event("reloaded"),
                        f"exit {daemon.process.poll()}: {daemon.log()}")

    def test_stop_during_the_start_is_orderly(self):
        daemon = self.make_daemon(ROUTE_MODE, "127.0.94.2")
        daemon.hold()
        daemon.process.send_signal(signal.SIGTERM)
        daemon.release()
        self.assertEqual(daemon.process.wait(STOP_S), 0)
        self.assertIn("event=stopped", daemon.log())

    def test_log_pipe_without_a_reader(self):
        """Guards against a process that ends with the program that reads its log."""
        daemon = self.make_daemon(ROUTE_MODE, "127.0.94.3")
        reader, writer = os.pipe()
        daemon.start(writer)
        os.close(writer)
        os.close(reader)
        # It logs lines each second, since it finds no control host.
        time.sleep(3)
        self.assertIsNone(daemon.process.poll())
        daemon.process.send_signal(signal.SIGTERM)
        self.assertEqual(daemon.process.wait(STOP_S), 0)

    def test_reload_in_policy_mode_is_refused(self):
        daemon = self.make_daemon(POLICY_MODE, "127.0.94.4")
        daemon.start()
        self.assertTrue(daemon.await_event("started"), daemon.log())
        daemon.process.send_signal(signal.SIGHUP)
        self.assertTrue(daemon.await_event("reload_refused"),
                        f"exit {daemon.process.poll()}: {daemon.log()}")
        self.assertIsNone(daemon.process.poll())


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--build", required=True)
    arguments, rest = parser.parse_known_args()
    SignalsTest.binary = os.path.join(arguments.build, "src", "hemlockpointd", "hemlockpointd")
    unittest.main(argv=["signals_test.py"] + rest)


if __name__ == "__main__":
    main()

#!/usr/bin/env python3
"""Sends signals to a daemon at moments at which they must not end it.

usage: signals_test.py --build DIR
"""
import argparse
import os
import signal
import time
import unittest

from daemon import POLICY_MODE, ROUTE_MODE, Daemon, make_full_pipe

STOP_S = 10

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

    def test_stop_while_the_log_pipe_is_full(self):
        """Guards against a process that doesn't stop because nobody reads its log."""
        daemon = self.make_daemon(ROUTE_MODE, "127.0.94.5")
        reader, writer = make_full_pipe()
        self.addCleanup(os.close, reader)
        daemon.start(writer)
        os.close(writer)
        time.sleep(2)
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

#!/usr/bin/env python3
"""Ends a daemon by faults and reads what it logs about them.

usage: crash_test.py --build DIR
"""
import argparse
import os
import resource
import signal
import socket
import time
import unittest

from daemon import ROUTE_MODE, Daemon, make_full_pipe

END_S = 10
CONNECTIONS = 600


class CrashTest(unittest.TestCase):
    binary = ""

    def start(self, address):
        daemon = Daemon(self.binary, ROUTE_MODE, address)
        self.addCleanup(daemon.close)
        daemon.start()
        self.assertTrue(daemon.await_event("started"), daemon.log())
        return daemon

    def test_a_fault_leaves_a_line(self):
        """Guards against a process that ends by a fault without saying so."""
        for number in (signal.SIGSEGV, signal.SIGBUS, signal.SIGABRT):
            with self.subTest(signal=number):
                daemon = self.start(f"127.0.97.{int(number)}")
                daemon.process.send_signal(number)
                self.assertEqual(daemon.process.wait(END_S), -number)
                self.assertRegex(daemon.log(),
                                 f"event=crashed node=n1 signal={int(number)} address=0x")
                self.assertRegex(daemon.log(), "event=crash_frames node=n1 offsets=0x")

    def test_a_fault_ends_the_process_although_nobody_reads_its_log(self):
        """Guards against a process that hangs in a crash while its log pipe is full."""
        daemon = Daemon(self.binary, ROUTE_MODE, "127.0.97.65")
        self.addCleanup(daemon.close)
        reader, writer = make_full_pipe()
        self.addCleanup(os.close, reader)
        daemon.start(writer)
        os.close(writer)
        time.sleep(2)
        daemon.process.send_signal(signal.SIGSEGV)
        self.assertEqual(daemon.process.wait(END_S), -signal.SIGSEGV)

    def test_an_uncaught_exception_leaves_a_line(self):
        """Guards against a process that ends by an exception without saying so."""
        address = "127.0.97.64"
        daemon = self.start(address)
        resource.prlimit(daemon.process.pid, resource.RLIMIT_AS, (1, 1))
        connections = []
        for _ in range(CONNECTIONS):
            try:
                connection = socket.create_connection((address, 7003), 1)
                connections.append(connection)
                connection.sendall(b"POST /a/ HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nabc")
            except OSError:
                break
        self.assertEqual(daemon.process.wait(END_S), -signal.SIGABRT)
        for connection in connections:
            connection.close()
        self.assertRegex(daemon.log(), 'event=crashed node=n1 exception="std::bad_alloc"')
        self.assertRegex(daemon.log(), f"event=crashed node=n1 signal={int(signal.SIGABRT)}")


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--build", required=True)
    arguments, rest = parser.parse_known_args()
    CrashTest.binary = os.path.join(arguments.build, "src", "hemlockpointd", "hemlockpointd")
    unittest.main(argv=["crash_test.py"] + rest)


if __name__ == "__main__":
    main()

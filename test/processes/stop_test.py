#!/usr/bin/env python3
"""Stops an entry node while a client still receives a response.

usage: stop_test.py --build DIR
"""
import signal
import socket
import time

from system import DEADLINE_MS, HOST, SystemTest, main, wire

WORK_S = 0.4
STOP_S = 8
BODY = bytes(range(256)) * 160
# From then on a stopping node accepts no new connections.
LATE_S = 2.2
RECEIVE_BUFFER_BYTES = 4096
# Within this time a closing connection discards what its client still sends.
READ_AFTER_S = 0.6


class StopTest(SystemTest):

    def test_a_response_arrives_whole_while_its_client_sends_on(self):
        """Guards against a response that is cut off because the process exits and resets the
        connection, on which further requests have arrived."""
        self.start_system("127.31.98.40", 1, WORK_S, BODY)
        with socket.socket() as client:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            client.connect((self.entry, 7003))
            process = self.daemons[self.entry].process
            process.send_signal(signal.SIGTERM)
            time.sleep(LATE_S)
            client.sendall(self.request("q1"))
            self.await_true(lambda: self.targets[0].runs)
            read_at = time.monotonic() + WORK_S + READ_AFTER_S
            while time.monotonic() < read_at:
                self.send_on(client)
                time.sleep(0.002)
            response = self.receive_all(client)
        self.assertIn(b" 200 ", response[:20])
        self.assertEqual(len(response.partition(b"\r\n\r\n")[2]), len(BODY))
        self.assertEqual(process.wait(STOP_S), 0)

    @staticmethod
    def request(request_id):
        return (f"GET /safe/q HTTP/1.1\r\nHost: {HOST}\r\n{wire.REQUEST_ID}: {request_id}\r\n"
                f"{wire.TIME_LEFT}: {DEADLINE_MS}\r\n\r\n").encode()

    def send_on(self, client):
        try:
            client.send(self.request("later"), socket.MSG_DONTWAIT)
        except OSError:
            # The node's buffer is full, or it has reset the connection.
            pass

    @staticmethod
    def receive_all(client):
        received = b""
        client.settimeout(STOP_S)
        try:
            while data := client.recv(1 << 16):
                received += data
        except OSError:
            pass
        return received


if __name__ == "__main__":
    main(__doc__.splitlines()[0])

#!/usr/bin/env python3
"""Stalls the process of a node while the target beside it is at work.

usage: stall_test.py --build DIR
"""
import http.client
import signal
import threading
import time

from system import DEADLINE_MS, HOST, SystemTest, call, main, wire

WORK_S = 2.5
# Longer than a node waits for the reply to a ping, shorter than the work.
STALL_S = 2.0


class StallTest(SystemTest):
    def request_with_stall(self, method, path):
        """Sends a request, and stalls the node whose target begins to work on it. Returns the
        response."""
        answers = []

        def send():
            try:
                answers.append(call(self.entry, 7003, method, path,
                                    {"Host": HOST, wire.REQUEST_ID: "q1",
                                     wire.TIME_LEFT: str(DEADLINE_MS)}))
            except (OSError, http.client.HTTPException) as error:
                answers.append((0, repr(error)))
        client = threading.Thread(target=send)
        client.start()
        self.await_true(lambda: any(target.runs for target in self.targets))
        node = next(target.node for target in self.targets if target.runs)
        process = self.daemons[node].process
        process.send_signal(signal.SIGSTOP)
        time.sleep(STALL_S)
        process.send_signal(signal.SIGCONT)
        client.join()
        return answers[0]

    def runs(self):
        return sum(len(target.runs) for target in self.targets)

    def test_a_call_that_cannot_be_repeated_outlasts_the_stall(self):
        """Guards against requests that are broken off while their target is at work because the
        process of its node is stalled."""
        self.start_system("127.31.98.10", 2, WORK_S)
        self.assertEqual(self.request_with_stall("POST", "/unsafe/q"), (200, "done"),
                         self.daemons[self.entry].log())
        self.assertEqual(self.runs(), 1)

    def test_a_call_without_another_target_outlasts_the_stall(self):
        """The same for an idempotent request that no other target can take."""
        self.start_system("127.31.98.20", 1, WORK_S)
        self.assertEqual(self.request_with_stall("GET", "/safe/q"), (200, "done"),
                         self.daemons[self.entry].log())
        self.assertEqual(self.runs(), 1)

    def test_an_idempotent_call_is_repeated_at_another_target(self):
        self.start_system("127.31.98.30", 2, WORK_S)
        self.assertEqual(self.request_with_stall("GET", "/safe/q"), (200, "done"),
                         self.daemons[self.entry].log())
        self.assertEqual(self.runs(), 2)


if __name__ == "__main__":
    main(__doc__.splitlines()[0])

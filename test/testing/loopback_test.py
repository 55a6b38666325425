#!/usr/bin/env python3
"""Tests testing/loopback.py."""
import os
import subprocess
import sys
import unittest

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "testing"))

from loopback import reserve_network  # noqa: E402
from scenario.scenario import Scenario  # noqa: E402


class LoopbackTest(unittest.TestCase):
    def reserve(self):
        network = reserve_network()
        self.addCleanup(network.close)
        return network

    def test_a_reserved_network_is_not_reserved_again(self):
        self.assertNotEqual(self.reserve().prefix, self.reserve().prefix)

    def test_scenarios_at_the_same_time_have_different_addresses(self):
        """Guards against scenarios that take each other's ports because of their process ids."""
        first, second = Scenario("build", "a.scn"), Scenario("build", "b.scn")
        for scenario in (first, second):
            self.addCleanup(scenario.stop)
            scenario.do_control(["c1"], {})
        self.assertNotEqual(first.address("c1"), second.address("c1"))

    def test_a_process_that_outlives_its_parent_keeps_the_network(self):
        """Guards against daemons of a program that was killed, whose ports are still in use."""
        network = self.reserve()
        process = subprocess.Popen([sys.executable, "-c", "input()"], stdin=subprocess.PIPE,
                                   pass_fds=network.inherited)
        network.close()
        self.assertNotEqual(self.reserve().prefix, network.prefix)
        process.communicate(b"\n")


if __name__ == "__main__":
    unittest.main()

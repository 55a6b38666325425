#!/usr/bin/env python3
"""Kills control hosts and wipes their disks, and reads the document back.

usage: control_group_test.py --build DIR
"""
import argparse
import http.client
import json
import os
import re
import shutil
import tempfile
import time
import unittest

from daemon import Daemon

FORM_S = 15
RECOVERY_S = 15
# Time between the moment at which all hosts are back, with a leader, and the loss
# of another disk: shorter than the time without heartbeats after which a member
# is replaced.
SECOND_LOSS_S = 2.5
# A host whose disk was lost counts as lost for this time after it is back.
CATCH_UP_S = 6
OPERATOR_PORT = 8306
DOCUMENT_PATH = "/hemlockpoint/config"

CONTROL_HOST = """[node]
name = "core-{number}"
group = "control-group"
region = "r"
failure_domain = "d{number}"
roles = ["control"]
serves = "routes"
[listen]
peer = "{ip}:7620"
admin = "{ip}:7621"
outside = "{ip}:8306"
[control]
seeds = [{seeds}]
form_group = true
losses_borne = {losses}
data_folder = "{data}"
"""


def make_document(version):
    return json.dumps({
        "version": f"{version:08x}",
        "routes": [],
        "services": [],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 8 << 20,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
    })


def call(address, method, body=None, base=0):
    """Calls an operator interface and follows redirects. Returns the status, or None
    without an answer, and the body."""
    for _ in range(4):
        connection = http.client.HTTPConnection(address, OPERATOR_PORT, timeout=4)
        try:
            connection.request(method, DOCUMENT_PATH, body, {"If-Match": f"{base:08x}"})
            response = connection.getresponse()
            text = response.read()
        except OSError:
            return None, b""
        finally:
            connection.close()
        if response.status != 307:
            return response.status, text
        address = response.getheader("Location").split("/")[2].split(":")[0]
    return None, b""


class ControlGroup:
    """Control hosts at `network`.1 and following, of which the first three are seeds."""

    def __init__(self, binary, network, hosts, losses=1):
        self.folder = tempfile.TemporaryDirectory(prefix="hemlockpoint-control-group-")
        self.addresses = [f"{network}.{i + 1}" for i in range(hosts)]
        self.daemons = []
        self.version = 0
        seeds = ", ".join(f'"{address}:7620"' for address in self.addresses[:3])
        for number, address in enumerate(self.addresses):
            settings = CONTROL_HOST.format(ip=address, number=number, seeds=seeds,
                                           losses=losses, data=self.data_of(number))
            self.daemons.append(Daemon(binary, settings, address))

    def data_of(self, number):
        return os.path.join(self.folder.name, f"data-{number}")

    def start(self):
        for daemon in self.daemons:
            daemon.start()

    def kill(self, numbers):
        for number in numbers:
            self.daemons[number].process.kill()
        for number in numbers:
            daemon = self.daemons[number]
            daemon.process.wait()
            daemon.settings = daemon.settings.replace("form_group = true", "form_group = false")

    def lose_disk_and_kill_all(self, number):
        self.kill(range(len(self.daemons)))
        shutil.rmtree(self.data_of(number))

    def lose_disks(self, numbers):
        self.kill(numbers)
        for number in numbers:
            shutil.rmtree(self.data_of(number))

    def leader(self):
        """Returns the number of the host that has won the last election."""
        terms = [max((int(term) for term in re.findall(r"event=leadership_won.* term=(\d+)",
                                                       daemon.log())), default=0)
                 for daemon in self.daemons]
        return terms.index(max(terms))

    def change(self):
        """Commits a document. Returns whether it was acknowledged."""
        base, self.version = self.version, self.version + 1
        deadline = time.monotonic() + FORM_S
        while time.monotonic() < deadline:
            for address in self.addresses:
                status, _ = call(address, "PUT", make_document(self.version), base)
                if status == 200:
                    return True
            time.sleep(0.1)
        return False

    def await_document(self, addresses):
        """Returns those hosts that don't give the document in force within RECOVERY_S."""
        silent = set(addresses)
        deadline = time.monotonic() + RECOVERY_S
        while silent and time.monotonic() < deadline:
            for address in sorted(silent):
                status, body = call(address, "GET")
                if status == 200:
                    version = int(json.loads(body)["version"], 16)
                    if version != self.version:
                        raise AssertionError(f"{address} gave {version}, not {self.version}")
                    silent.discard(address)
            time.sleep(0.05)
        return silent

    def await_event(self, event):
        deadline = time.monotonic() + RECOVERY_S
        while time.monotonic() < deadline:
            if any(f"event={event}" in daemon.log() for daemon in self.daemons):
                return True
            time.sleep(0.02)
        return False

    def logs(self):
        return "\n".join(re.sub(r"^", f"{n}: ", daemon.log(), flags=re.M)
                         for n, daemon in enumerate(self.daemons))

    def close(self):
        for daemon in self.daemons:
            daemon.close()
        self.folder.cleanup()


class ControlGroupTest(unittest.TestCase):
    binary = ""

    def make_group(self, network, hosts, losses=1):
        group = ControlGroup(self.binary, network, hosts, losses)
        self.addCleanup(group.close)
        group.start()
        return group

    def lose_two_disks(self, network, hosts):
        group = self.make_group(network, hosts)
        for victim in (1, 2):
            self.assertTrue(group.change(), group.logs())
            group.lose_disk_and_kill_all(victim)
            group.start()
            self.assertTrue(group.await_event("leadership_won"), group.logs())
            for daemon in group.daemons:
                self.assertTrue(daemon.await_event("started"), group.logs())
            time.sleep(SECOND_LOSS_S)
        silent = group.await_document(group.addresses)
        self.assertNotEqual(silent, set(group.addresses), group.logs())

    def test_second_disk_is_lost_soon_after_the_first_of_three(self):
        """Guards against a group that never answers again since the first wiped host, which
        is back, still counts."""
        self.lose_two_disks("127.33.97", 3)

    def test_second_disk_is_lost_soon_after_the_first_of_four(self):
        """The same where a host outside the group takes the place of the wiped one."""
        self.lose_two_disks("127.33.98", 4)

    def test_a_host_was_away_while_two_others_were_replaced(self):
        """Guards against a group that never answers again because a host ignores the requests
        for votes of others that replaced lost ones while it was away, or can't reply to them."""
        group = self.make_group("127.33.96", 5, losses=2)
        self.assertTrue(group.change(), group.logs())
        # The group is formed of the three seeds, and grows.
        self.assertTrue(group.await_event("group_tolerates_loss voters=5 live=5"), group.logs())
        leader = group.leader()
        away, first, second, other = [n for n in range(5) if n != leader]
        group.kill([away])
        for victim in (first, second):
            group.lose_disks([victim])
            group.daemons[victim].start()
            time.sleep(CATCH_UP_S)
        self.assertTrue(group.change(), group.logs())
        group.lose_disks([leader, other])
        for number in (leader, other, away):
            group.daemons[number].start()
        silent = group.await_document(group.addresses)
        self.assertEqual(silent, set(), group.logs())

    def test_all_seeds_are_outside_the_group(self):
        """Guards against hosts that find no leader because they know only the seeds, and these
        have lost their disks and places in the group."""
        group = self.make_group("127.33.95", 6)
        self.assertTrue(group.change(), group.logs())
        seeds = range(3)
        for seed in seeds:
            group.kill([seed])
            time.sleep(CATCH_UP_S)
        group.lose_disks(seeds)
        for seed in seeds:
            group.daemons[seed].start()
        silent = group.await_document(group.addresses)
        self.assertEqual(silent, set(), group.logs())

    def test_hosts_outside_the_group_name_the_leader(self):
        """Guards against a host that refuses each operator as long as it runs since it isn't a
        member of the group."""
        group = self.make_group("127.33.99", 4)
        self.assertTrue(group.change(), group.logs())
        self.assertEqual(group.await_document(group.addresses), set(), group.logs())


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--build", required=True)
    arguments, rest = parser.parse_known_args()
    ControlGroupTest.binary = os.path.join(arguments.build, "src", "hemlockpointd",
                                           "hemlockpointd")
    unittest.main(argv=["control_group_test.py"] + rest)


if __name__ == "__main__":
    main()

#!/usr/bin/env python3
"""Runs scenarios: real daemons and fake targets on loopback addresses, driven
through the steps of a small test language. docs/scenarios.md describes it.

usage: scenario.py --build DIR FILE...
Exit code 0 when every expectation held, 1 when one failed, 2 for a fault in
the file, with its line and column.
"""
import argparse
import json
import os
import re
import shlex
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request

ADMIN_TOKEN = "admin-token"
POLL_SECONDS = 0.1


class Fault(Exception):
    """A fault in the scenario's text."""


class Failure(Exception):
    """An expectation that did not hold."""


def parse_pairs(words):
    """Splits key=value words from plain ones."""
    plain, pairs = [], {}
    for word in words:
        if re.match(r"^[a-z_.]+=", word):
            key, value = word.split("=", 1)
            pairs[key] = value
        else:
            plain.append(word)
    return plain, pairs


def compare(actual, operator, wanted):
    if operator in ("=", "!="):
        equal = str(actual).lower() == wanted.lower()
        return equal if operator == "=" else not equal
    actual, wanted = float(actual), float(wanted)
    return {"<": actual < wanted, ">": actual > wanted, "<=": actual <= wanted, ">=": actual >= wanted}[operator]


class Scenario:
    """One running scenario and what it has started."""

    def __init__(self, build, path):
        self.build = build
        self.path = path
        self.net = 20 + os.getpid() % 200
        self.dir = f"/tmp/hemlockpoint-scenario-{os.getpid()}"
        subprocess.run(["rm", "-rf", self.dir], check=True)
        os.makedirs(self.dir)
        self.controls, self.nodes, self.targets = [], {}, {}
        self.processes, self.loads, self.load_results, self.answers = {}, {}, {}, {}
        self.changes = 0

    # Addresses.
    def address(self, name):
        if name in self.controls:
            return f"127.{self.net}.1.{self.controls.index(name) + 1}"
        if name in self.nodes:
            return f"127.{self.net}.2.{list(self.nodes).index(name) + 1}"
        raise Fault(f"no such process: {name}")

    def spawn(self, key, command):
        log = open(f"{self.dir}/{key}.log", "a")
        self.processes[key] = subprocess.Popen(command, stdout=log, stderr=log)

    # Starting.
    def settings(self, name):
        control = name in self.controls
        ip = self.address(name)
        hosts = ", ".join(f'{{ name = "{c}", peer = "{self.address(c)}:7001" }}' for c in self.controls)
        domain = name if control else self.nodes[name].get("domain", name)
        text = (f'[node]\nname = "{name}"\ngroup = "scenario"\nregion = "r"\nfailure_domain = "{domain}"\n'
                f'roles = ["{"control" if control else "node"}"]\n[listen]\n'
                + ("" if control else f'http = "{ip}:7000"\n')
                + f'peer = "{ip}:7001"\nadmin = "{ip}:7002"\n[control]\nhosts = [{hosts}]\n'
                + (f'data_folder = "{self.dir}/{name}"\n' if control else "")
                + '[log]\nlevel = "info"\n')
        path = f"{self.dir}/{name}.toml"
        with open(path, "w") as file:
            file.write(text)
        return path

    def start(self, name):
        if name in self.targets:
            self.start_target(name)
        else:
            self.spawn(name, [f"{self.build}/src/hemlockpointd/hemlockpointd", "--settings", self.settings(name)])

    def start_target(self, name):
        node = self.targets[name]["node"]
        ip = self.address(node)
        command = [f"{self.build}/testing/fake_target/fake_target", "--listen", f"{ip}:8000", "--control",
                   f"{ip}:8001", "--node-admin", f"{ip}:7002", "--node-http", f"{ip}:7000"]
        for key, value in self.targets[name]["options"].items():
            command += [f"--{key.replace('_', '-')}", value]
        self.spawn(name, command)

    # Steps.
    def do_control(self, plain, pairs):
        self.controls += plain

    def do_node(self, plain, pairs):
        """node NAME [service=S slots=N ...]: a node, with a target when a service is named."""
        name = plain[0]
        self.nodes[name] = {"domain": pairs.pop("domain", name)}
        if "service" in pairs:
            self.targets[f"{name}.target"] = {"node": name, "options": pairs}

    def do_start(self, plain, pairs):
        """start [NAME...]: everything, or what is named."""
        names = plain or self.controls + list(self.nodes)
        for name in names:
            self.start(name)
        if plain:
            return
        time.sleep(0.5)
        self.init()
        for name in self.targets:
            self.start_target(name)
        services = {target["options"]["service"] for target in self.targets.values()}
        self.eventually(30, lambda: self.ready(services))

    def ready(self, services):
        control = json.loads(self.get(self.controls[0], "/hemlock/v1/control"))
        claimed = {entry["service"] for entry in control["claim_sets"]}
        return services <= claimed

    def init(self):
        self.eventually(10, lambda: self.ctl(["control", "init"], ADMIN_TOKEN)[0] in (0, 1))
        self.eventually(10, lambda: self.ctl(["policy", "show"])[0] == 0)

    def ctl(self, arguments, token="", text=None):
        command = [f"{self.build}/src/hemlockctl/hemlockctl"]
        for name in self.controls:
            command += ["--node", f"{self.address(name)}:7002"]
        done = subprocess.run(command + arguments, env=dict(os.environ, HEMLOCKCTL_TOKEN=token), input=text,
                              capture_output=True, text=True)
        return done.returncode, done.stdout, done.stderr

    def get(self, name, path, port=7002):
        with urllib.request.urlopen(f"http://{self.address(name)}:{port}{path}", timeout=5) as answer:
            return answer.read().decode()

    def do_policy(self, plain, pairs):
        """policy SECTION file=F [token=T] [exit=N]: applies a section on top of what is in force."""
        section = plain[0]
        with open(os.path.join(os.path.dirname(self.path), pairs["file"])) as file:
            text = file.read()
        self.apply(section, text, pairs)

    def do_change(self, plain, pairs):
        """change SECTION count=N: changes a section's comment, one change after another."""
        section = plain[0]
        self.eventually(30, lambda: self.ctl(["policy", "show"])[0] == 0)
        _, out, _ = self.ctl(["--output", "json", "policy", "show"])
        text = json.loads(out)["sections"][section]["text"]
        for _ in range(int(pairs.get("count", "1"))):
            self.apply(section, text + f"\n# change {self.changes}\n", pairs)

    def apply(self, section, text, pairs):
        self.changes += 1
        wanted = int(pairs.get("exit", "0"))

        def attempt():
            code, out, _ = self.ctl(["--output", "json", "policy", "show"])
            if code != 0:
                return False
            known = json.loads(out)["sections"].get(section, {"revision": 0})
            code, _, error = self.ctl(["policy", "apply", "--section", section, "--base", str(known["revision"]),
                                       "--change-id", f"change-{self.changes}"], pairs.get("token", ADMIN_TOKEN), text)
            if code not in (wanted, 3):
                raise Failure(f"policy apply: exit {code}: {error}")
            return code == wanted
        self.eventually(30, attempt)

    def do_load(self, plain, pairs):
        """load NAME at=NODE,... service=S rate=R seconds=S ...: starts a load."""
        name = plain[0]
        entries = [f"entry={self.address(node)}:7000" for node in pairs.pop("at").split(",")]
        spec = ",".join([f"name={name}"] + entries + [f"{k}={v}" for k, v in pairs.items()])
        self.loads[name] = subprocess.Popen([f"{self.build}/bench/hemlockload", "--json", "--stream", spec],
                                            stdout=subprocess.PIPE)

    def do_wait(self, plain, pairs):
        for name in plain:
            out, _ = self.loads[name].communicate()
            self.load_results[name] = json.loads(out)[0]

    def do_call(self, plain, pairs):
        """call NAME METHOD SERVICE PATH at=NODE [key=K body=N caller=C deadline=MS background=1]."""
        name, method, service, path = plain
        command = ["curl", "-s", "-i", "-m", "60", "-X", method, "-H", f"Hemlock-Service: {service}",
                   "-H", f"Hemlock-Deadline-Ms: {pairs.get('deadline', '10000')}"]
        for key, header in (("key", "Idempotency-Key"), ("caller", "Hemlock-Caller"), ("call_id", "Hemlock-Call-Id")):
            if key in pairs:
                command += ["-H", f"{header}: {pairs[key]}"]
        if "body" in pairs:
            path_in = f"{self.dir}/{name}.body"
            with open(path_in, "wb") as file:
                file.write(os.urandom(int(pairs["body"])))
            command += ["--data-binary", f"@{path_in}", "-H", "Expect:"]
        command.append(f"http://{self.address(pairs['at'])}:7000{path}")
        process = subprocess.Popen(command, stdout=subprocess.PIPE)
        self.answers[name] = process
        if "background" not in pairs:
            self.finish(name)

    def do_raw(self, plain, pairs):
        """raw NAME TEXT at=NODE: sends bytes as they are, with \\r \\n and {N*x} for a repeat."""
        name, text = plain
        text = re.sub(r"\{(\d+)\*(.)\}", lambda m: m.group(2) * int(m.group(1)), text)
        data = text.encode().decode("unicode_escape").encode("latin-1")
        with socket.create_connection((self.address(pairs["at"]), int(pairs.get("port", "7000"))), 5) as connection:
            connection.settimeout(5)
            answer = b""
            try:
                connection.sendall(data)
                while chunk := connection.recv(65536):
                    answer += chunk
                    if b"\r\n\r\n" in answer:
                        break
            except OSError:
                pass
        self.answers[name] = self.parse_answer(answer)

    def finish(self, name):
        process = self.answers[name]
        if isinstance(process, subprocess.Popen):
            out, _ = process.communicate()
            self.answers[name] = self.parse_answer(out)
        return self.answers[name]

    @staticmethod
    def parse_answer(raw):
        head, _, body = raw.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        answer = {"status": lines[0].split(" ")[1] if " " in lines[0] else "none", "body": body}
        for line in lines[1:]:
            key, _, value = line.partition(": ")
            key = key.lower().replace("hemlock-", "").replace("-", "_")
            answer[key] = value
        return answer

    def signal(self, names, number):
        for name in names:
            self.processes[name].send_signal(number)

    def do_kill(self, plain, pairs):
        self.signal(plain, signal.SIGKILL)
        for name in plain:
            self.processes[name].wait()

    def do_freeze(self, plain, pairs):
        self.signal(plain, signal.SIGSTOP)

    def do_thaw(self, plain, pairs):
        self.signal(plain, signal.SIGCONT)

    def do_terminate(self, plain, pairs):
        """terminate NAME...: SIGTERM, and waits for exit code 0."""
        self.signal(plain, signal.SIGTERM)
        for name in plain:
            code = self.processes[name].wait(timeout=60)
            if code != 0:
                raise Failure(f"{name} exited with {code}")

    def do_wipe(self, plain, pairs):
        for name in plain:
            subprocess.run(["rm", "-rf", f"{self.dir}/{name}"], check=True)

    def do_damage(self, plain, pairs):
        """damage NAME byte=N: changes one byte of a control host's journal."""
        with open(f"{self.dir}/{plain[0]}/journal", "r+b") as file:
            file.seek(int(pairs["byte"]))
            old = file.read(1)
            file.seek(int(pairs["byte"]))
            file.write(bytes([old[0] ^ 1]))

    def do_replace(self, plain, pairs):
        """replace HOST: removes a control host from the group and adds it again."""
        host = plain[0]
        self.eventually(30, lambda: self.ctl(["control", "remove", host], ADMIN_TOKEN)[0] == 0)
        self.eventually(30, lambda: self.ctl(
            ["control", "add", host, f"{self.address(host)}:7001"], ADMIN_TOKEN)[0] == 0)

    def do_target(self, plain, pairs):
        """target NODE slowdown=X drain=1: changes a fake target's behaviour."""
        query = "&".join(f"{k}={v}" for k, v in pairs.items())
        self.get(plain[0], f"/?{query}", 8001)

    def do_sleep(self, plain, pairs):
        time.sleep(float(plain[0]))

    def do_leader(self, plain, pairs):
        """leader NAME...: gives the leader the first name, and the other hosts the rest."""
        hosts = list(self.controls)

        def find():
            for host in hosts:
                if self.processes[host].poll() is None:
                    try:
                        if json.loads(self.get(host, "/hemlock/v1/control"))["role"] == "leader":
                            return host
                    except OSError:
                        continue
            return None
        self.eventually(30, find)
        leader = find()
        ordered = [leader] + [host for host in hosts if host != leader]
        self.aliases = dict(zip(plain, ordered))

    # Expectations.
    def do_expect(self, plain, pairs):
        self.check(plain)

    def do_eventually(self, plain, pairs):
        """eventually SECONDS ...: an expectation that must hold within a time."""
        self.eventually(float(plain[0]), lambda: self.check(plain[1:]) or True)

    @staticmethod
    def eventually(seconds, condition):
        end = time.monotonic() + seconds
        last = "condition did not hold"
        while time.monotonic() < end:
            try:
                if condition():
                    return
            except (Failure, OSError, ValueError, KeyError) as error:
                last = error
            time.sleep(POLL_SECONDS)
        raise Failure(f"not within {seconds} s: {last}")

    def check(self, plain):
        kind = plain[0]
        handler = getattr(self, f"value_{kind}", None)
        if handler is None:
            raise Fault(f"nothing to expect of: {kind}")
        subject, conditions = plain[1], plain[2:]
        for condition in conditions:
            match = re.match(r"^([a-z_0-9.]+)(<=|>=|!=|<|>|=)(.*)$", condition)
            if not match:
                raise Fault(f"expected FIELD=VALUE: {condition}")
            actual = handler(subject, match.group(1))
            if not compare(actual, match.group(2), match.group(3)):
                more = f", ends {self.load_results[subject]['ends']}" if kind == "load" else ""
                raise Failure(f"{kind} {subject}: {condition}, but it is {actual}{more}")

    def value_call(self, name, field):
        answer = self.finish(name)
        if field == "echoed":
            with open(f"{self.dir}/{name}.body", "rb") as file:
                return file.read() == answer["body"]
        if field.startswith("json."):
            return json.loads(answer["body"])[field[5:]]
        return answer.get(field, "none")

    def value_load(self, name, field):
        result = self.load_results[name]
        if field == "good_share":
            return result["good"] / max(1, result["requests"])
        if field.startswith("ends."):
            return result["ends"].get(field[5:], 0)
        return result[field]

    def value_key(self, key, field):
        """Runs of a key over all targets that live; fields: runs."""
        runs = 0
        for name, target in self.targets.items():
            if self.processes[name].poll() is None:
                runs += json.loads(self.get(target["node"], "/", 8001))["keys"].get(key, 0)
        return runs

    def value_keys(self, _, field):
        """Over all keys and living targets: most_runs."""
        runs = {}
        for name, target in self.targets.items():
            if self.processes[name].poll() is None:
                for key, count in json.loads(self.get(target["node"], "/", 8001))["keys"].items():
                    runs[key] = runs.get(key, 0) + count
        return max(runs.values(), default=0)

    def value_target(self, node, field):
        return json.loads(self.get(node, "/", 8001))[field]

    def value_node(self, node, field):
        value = json.loads(self.get(node, "/hemlock/v1/status"))
        for part in field.split("."):
            value = value[part]
        return value

    def value_control(self, host, field):
        return json.loads(self.get(host, "/hemlock/v1/control"))[field]

    def value_process(self, name, field):
        """exit: the exit code, or running."""
        code = self.processes[name].poll()
        return "running" if code is None else code

    def value_policy(self, _, field):
        """Of the whole system: revision, laggards."""
        code, out, error = self.ctl(["--output", "json", "policy", "status"])
        if not out:
            raise Failure(error)
        status = json.loads(out)
        return status["revision"] if field == "revision" else sum(node["lags"] for node in status["nodes"])

    # Running.
    aliases = {}

    def run_line(self, line):
        words = shlex.split(line, comments=True)
        if not words:
            return
        words = [self.aliases.get(word, word) for word in words]
        handler = getattr(self, f"do_{words[0]}", None)
        if handler is None:
            raise Fault(f"unknown step: {words[0]}")
        if words[0] in ("expect", "eventually"):
            handler(words[1:], {})
        else:
            handler(*parse_pairs(words[1:]))

    def run(self):
        with open(self.path) as file:
            lines = file.read().splitlines()
        for number, line in enumerate(lines, 1):
            column = len(line) - len(line.lstrip()) + 1
            place = f"{self.path}:{number}:{column}"
            try:
                self.run_line(line)
            except (Fault, IndexError, KeyError, ValueError) as error:
                print(f"{place}: {type(error).__name__}: {error}")
                return 2
            except (Failure, OSError, subprocess.TimeoutExpired) as error:
                print(f"{place}: failed: {error}")
                return 1
        return 0

    def stop(self):
        for process in list(self.processes.values()) + list(self.loads.values()):
            if process.poll() is None:
                process.kill()
                process.wait()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", required=True)
    parser.add_argument("files", nargs="+")
    options = parser.parse_args()
    worst = 0
    for path in options.files:
        scenario = Scenario(options.build, path)
        try:
            code = scenario.run()
        finally:
            scenario.stop()
        print(f"{path}: {('passed', 'FAILED', 'FAULT')[code]}" + (f", logs in {scenario.dir}" if code else ""))
        worst = max(worst, code)
    return worst


if __name__ == "__main__":
    sys.exit(main())

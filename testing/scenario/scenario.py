#!/usr/bin/env python3
"""Runs scenario files. Each starts daemons and fake targets as processes on
loopback addresses, and drives them with the steps of a small test language,
which docs/scenarios.md describes.

usage: scenario.py --build DIR FILE...
Exit code: 0 when every expectation held, 1 when a step or an expectation
failed, 2 for an error in a file. Errors and failures are printed with file,
line and column.
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

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

from loopback import reserve_network  # noqa: E402

ADMIN_TOKEN = "admin-token"
POLL_SECONDS = 0.1


class Fault(Exception):
    """An error in the text of a scenario."""


class Failure(Exception):
    """A step that failed, or an expectation that did not hold."""


def parse_pairs(words):
    """Separates the plain words of a step from its key=value words."""
    plain, pairs = [], {}
    for word in words:
        if re.match(r"^[a-z_.]+=", word):
            key, value = word.split("=", 1)
            pairs[key] = value
        else:
            plain.append(word)
    return plain, pairs


def compare(actual, operator, expected):
    """= and != compare text without regard to case; the other operators compare numbers."""
    if operator in ("=", "!="):
        equal = str(actual).lower() == expected.lower()
        return equal if operator == "=" else not equal
    actual, expected = float(actual), float(expected)
    return {"<": actual < expected, ">": actual > expected,
            "<=": actual <= expected, ">=": actual >= expected}[operator]


class Scenario:
    """One run of a scenario file and the processes that it started. do_NAME runs the step NAME;
    value_KIND returns a field of a subject of that kind, for an expectation."""

    def __init__(self, build, path):
        self.build = build
        self.path = path
        self.network = reserve_network()
        self.dir = f"/tmp/hemlockpoint-scenario-{os.getpid()}"
        subprocess.run(["rm", "-rf", self.dir], check=True)
        os.makedirs(self.dir)
        self.controls, self.nodes, self.targets = [], {}, {}
        # By name. A response is the curl process until finish_call() has parsed its output.
        self.processes, self.loads, self.load_results, self.responses = {}, {}, {}, {}
        self.changes = 0

    # Addresses.
    def address(self, name):
        if name in self.controls:
            return f"{self.network.prefix}.1.{self.controls.index(name) + 1}"
        if name in self.nodes:
            return f"{self.network.prefix}.2.{list(self.nodes).index(name) + 1}"
        raise Fault(f"no such process: {name}")

    def spawn(self, key, command):
        log = open(f"{self.dir}/{key}.log", "a")
        self.processes[key] = subprocess.Popen(command, stdout=log, stderr=log,
                                               pass_fds=self.network.inherited)

    # Processes.
    def write_settings(self, name):
        is_control = name in self.controls
        ip = self.address(name)
        hosts = ", ".join(f'{{ name = "{c}", peer = "{self.address(c)}:7001" }}' for c in self.controls)
        domain = name if is_control else self.nodes[name].get("domain", name)
        drain_timeout = None if is_control else self.nodes[name].get("drain_timeout_ms")
        text = (f'[node]\nname = "{name}"\ngroup = "scenario"\nregion = "r"\nfailure_domain = "{domain}"\n'
                f'roles = ["{"control" if is_control else "node"}"]\n[listen]\n'
                + ("" if is_control else f'http = "{ip}:7000"\n')
                + f'peer = "{ip}:7001"\nadmin = "{ip}:7002"\n[control]\nhosts = [{hosts}]\n'
                + (f'data_folder = "{self.dir}/{name}"\n' if is_control else "")
                + (f'[limits]\ndrain_timeout_ms = {drain_timeout}\n' if drain_timeout else "")
                + '[log]\nlevel = "info"\n')
        path = f"{self.dir}/{name}.toml"
        with open(path, "w") as file:
            file.write(text)
        return path

    def start(self, name):
        if name in self.targets:
            self.start_target(name)
        else:
            self.spawn(name, [f"{self.build}/src/hemlockpointd/hemlockpointd", "--settings", self.write_settings(name)])

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
        """control NAME...: declares control hosts."""
        self.controls += plain

    def do_node(self, plain, pairs):
        """node NAME [domain=D] [drain_timeout_ms=T] [service=S slots=N ...]: declares a node; with a service, also its fake target."""
        name = plain[0]
        self.nodes[name] = {"domain": pairs.pop("domain", name),
                            "drain_timeout_ms": pairs.pop("drain_timeout_ms", None)}
        if "service" in pairs:
            self.targets[f"{name}.target"] = {"node": name, "options": pairs}

    def do_start(self, plain, pairs):
        """start [NAME...]: the named processes; or all of them, with a control group and claim replica sets."""
        names = plain or self.controls + list(self.nodes)
        for name in names:
            self.start(name)
        if plain:
            return
        time.sleep(0.5)
        self.form_control_group()
        for name in self.targets:
            self.start_target(name)
        services = {target["options"]["service"] for target in self.targets.values()}
        self.wait_until(30, lambda: self.have_claim_sets(services))

    def have_claim_sets(self, services):
        control = json.loads(self.http_get(self.controls[0], "/hemlock/v1/control"))
        services_with_set = {entry["service"] for entry in control["claim_sets"]}
        return services <= services_with_set

    def form_control_group(self):
        self.wait_until(10, lambda: self.ctl(["control", "init"], ADMIN_TOKEN)[0] in (0, 1))
        self.wait_until(10, lambda: self.ctl(["policy", "show"])[0] == 0)

    def ctl(self, arguments, token="", text=None):
        """Runs hemlockctl on all control hosts. Returns its exit code, output and errors."""
        command = [f"{self.build}/src/hemlockctl/hemlockctl"]
        for name in self.controls:
            command += ["--node", f"{self.address(name)}:7002"]
        finished = subprocess.run(command + arguments, env=dict(os.environ, HEMLOCKCTL_TOKEN=token), input=text,
                              capture_output=True, text=True)
        return finished.returncode, finished.stdout, finished.stderr

    def http_get(self, name, path, port=7002):
        with urllib.request.urlopen(f"http://{self.address(name)}:{port}{path}", timeout=5) as response:
            return response.read().decode()

    def do_policy(self, plain, pairs):
        """policy SECTION file=F [token=T] [exit=N]: applies a section, based on its revision in force."""
        section = plain[0]
        with open(os.path.join(os.path.dirname(self.path), pairs["file"])) as file:
            text = file.read()
        self.apply_section(section, text, pairs)

    def do_change(self, plain, pairs):
        """change SECTION count=N: applies N changes one after another, each with a further comment in the section."""
        section = plain[0]
        self.wait_until(30, lambda: self.ctl(["policy", "show"])[0] == 0)
        _, out, _ = self.ctl(["--output", "json", "policy", "show"])
        text = json.loads(out)["sections"][section]["text"]
        for _ in range(int(pairs.get("count", "1"))):
            self.apply_section(section, text + f"\n# change {self.changes}\n", pairs)

    def apply_section(self, section, text, pairs):
        """Applies a section until hemlockctl exits with the expected code; exit code 3 is tried again."""
        self.changes += 1
        expected = int(pairs.get("exit", "0"))

        def attempt():
            code, out, _ = self.ctl(["--output", "json", "policy", "show"])
            if code != 0:
                return False
            current = json.loads(out)["sections"].get(section, {"revision": 0})
            code, _, error = self.ctl(["policy", "apply", "--section", section, "--base", str(current["revision"]),
                                       "--change-id", f"change-{self.changes}"], pairs.get("token", ADMIN_TOKEN), text)
            if code not in (expected, 3):
                raise Failure(f"policy apply: exit {code}: {error}")
            return code == expected
        self.wait_until(30, attempt)

    def do_load(self, plain, pairs):
        """load NAME at=NODE,... service=S rate=R seconds=S ...: starts hemlockload with this stream."""
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
        """call NAME METHOD SERVICE PATH at=NODE [key=K body=N caller=C call_id=ID deadline=MS background=1]."""
        name, method, service, path = plain
        command = ["curl", "-s", "-i", "-m", "60", "-X", method, "-H", f"Hemlock-Service: {service}",
                   "-H", f"Hemlock-Deadline-Ms: {pairs.get('deadline', '10000')}"]
        for key, header in (("key", "Idempotency-Key"), ("caller", "Hemlock-Caller"), ("call_id", "Hemlock-Call-Id")):
            if key in pairs:
                command += ["-H", f"{header}: {pairs[key]}"]
        if "body" in pairs:
            body_path = f"{self.dir}/{name}.body"
            with open(body_path, "wb") as file:
                file.write(os.urandom(int(pairs["body"])))
            command += ["--data-binary", f"@{body_path}", "-H", "Expect:"]
        command.append(f"http://{self.address(pairs['at'])}:7000{path}")
        process = subprocess.Popen(command, stdout=subprocess.PIPE)
        self.responses[name] = process
        if "background" not in pairs:
            self.finish_call(name)

    def do_raw(self, plain, pairs):
        """raw NAME TEXT at=NODE [port=N]: sends TEXT as bytes, with \\r, \\n, and {N*x} for N times the character x."""
        name, text = plain
        text = re.sub(r"\{(\d+)\*(.)\}", lambda m: m.group(2) * int(m.group(1)), text)
        data = text.encode().decode("unicode_escape").encode("latin-1")
        with socket.create_connection((self.address(pairs["at"]), int(pairs.get("port", "7000"))), 5) as connection:
            connection.settimeout(5)
            response = b""
            try:
                connection.sendall(data)
                while chunk := connection.recv(65536):
                    response += chunk
                    if b"\r\n\r\n" in response:
                        break
            except OSError:
                pass
        self.responses[name] = self.parse_response(response)

    def finish_call(self, name):
        process = self.responses[name]
        if isinstance(process, subprocess.Popen):
            out, _ = process.communicate()
            self.responses[name] = self.parse_response(out)
        return self.responses[name]

    @staticmethod
    def parse_response(raw):
        """Returns status, body and headers as a dict; Hemlock-Request-Id becomes request_id."""
        head, _, body = raw.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        response = {"status": lines[0].split(" ")[1] if " " in lines[0] else "none", "body": body}
        for line in lines[1:]:
            key, _, value = line.partition(": ")
            key = key.lower().replace("hemlock-", "").replace("-", "_")
            response[key] = value
        return response

    def send_signal(self, names, number):
        for name in names:
            self.processes[name].send_signal(number)

    def do_kill(self, plain, pairs):
        self.send_signal(plain, signal.SIGKILL)
        for name in plain:
            self.processes[name].wait()

    def do_freeze(self, plain, pairs):
        """freeze NAME...: SIGSTOP; connections stay open."""
        self.send_signal(plain, signal.SIGSTOP)

    def do_thaw(self, plain, pairs):
        """thaw NAME...: SIGCONT."""
        self.send_signal(plain, signal.SIGCONT)

    def do_terminate(self, plain, pairs):
        """terminate NAME...: SIGTERM, then expects exit code 0 within 60 s."""
        self.send_signal(plain, signal.SIGTERM)
        for name in plain:
            code = self.processes[name].wait(timeout=60)
            if code != 0:
                raise Failure(f"{name} exited with {code}")

    def do_wipe(self, plain, pairs):
        """wipe HOST...: deletes the data folders of control hosts."""
        for name in plain:
            subprocess.run(["rm", "-rf", f"{self.dir}/{name}"], check=True)

    def do_damage(self, plain, pairs):
        """damage HOST byte=N: flips one bit of byte N of a control host's journal."""
        with open(f"{self.dir}/{plain[0]}/journal", "r+b") as file:
            file.seek(int(pairs["byte"]))
            old = file.read(1)
            file.seek(int(pairs["byte"]))
            file.write(bytes([old[0] ^ 1]))

    def do_replace(self, plain, pairs):
        """replace HOST: removes a control host from the group and adds it again."""
        host = plain[0]
        self.wait_until(30, lambda: self.ctl(["control", "remove", host], ADMIN_TOKEN)[0] == 0)
        self.wait_until(30, lambda: self.ctl(
            ["control", "add", host, f"{self.address(host)}:7001"], ADMIN_TOKEN)[0] == 0)

    def do_target(self, plain, pairs):
        """target NODE [slowdown=X] [drain=0|1]: changes the behaviour of the fake target at a node."""
        query = "&".join(f"{k}={v}" for k, v in pairs.items())
        self.http_get(plain[0], f"/?{query}", 8001)

    def do_sleep(self, plain, pairs):
        time.sleep(float(plain[0]))

    def do_leader(self, plain, pairs):
        """leader NAME...: names the current leader, then the other control hosts, for later steps."""
        hosts = list(self.controls)

        def find_leader():
            for host in hosts:
                if self.processes[host].poll() is None:
                    try:
                        if json.loads(self.http_get(host, "/hemlock/v1/control"))["role"] == "leader":
                            return host
                    except OSError:
                        continue
            return None
        self.wait_until(30, find_leader)
        leader = find_leader()
        ordered = [leader] + [host for host in hosts if host != leader]
        self.aliases = dict(zip(plain, ordered))

    # Expectations.
    def do_expect(self, plain, pairs):
        """expect KIND SUBJECT FIELD=VALUE...: fails unless all conditions hold now."""
        self.check_conditions(plain)

    def do_eventually(self, plain, pairs):
        """eventually SECONDS KIND SUBJECT FIELD=VALUE...: fails unless all conditions hold at once within a time."""
        self.wait_until(float(plain[0]), lambda: self.check_conditions(plain[1:]) or True)

    @staticmethod
    def wait_until(seconds, condition):
        deadline = time.monotonic() + seconds
        last_error = "condition did not hold"
        while time.monotonic() < deadline:
            try:
                if condition():
                    return
            except (Failure, OSError, ValueError, KeyError) as error:
                last_error = error
            time.sleep(POLL_SECONDS)
        raise Failure(f"not within {seconds} s: {last_error}")

    def check_conditions(self, plain):
        kind = plain[0]
        handler = getattr(self, f"value_{kind}", None)
        if handler is None:
            raise Fault(f"unknown kind of expectation: {kind}")
        subject, conditions = plain[1], plain[2:]
        for condition in conditions:
            match = re.match(r"^([a-z_0-9.]+)(<=|>=|!=|<|>|=)(.*)$", condition)
            if not match:
                raise Fault(f"expected FIELD=VALUE: {condition}")
            actual = handler(subject, match.group(1))
            if not compare(actual, match.group(2), match.group(3)):
                failures = f", ends {self.load_results[subject]['ends']}" if kind == "load" else ""
                raise Failure(f"{kind} {subject}: {condition}, but it is {actual}{failures}")

    def value_call(self, name, field):
        """Fields: echoed (request and response body are equal), json.KEY of the body, or as in parse_response()."""
        response = self.finish_call(name)
        if field == "echoed":
            with open(f"{self.dir}/{name}.body", "rb") as file:
                return file.read() == response["body"]
        if field.startswith("json."):
            return json.loads(response["body"])[field[5:]]
        return response.get(field, "none")

    def value_load(self, name, field):
        """Fields: good_share (successful requests of all), ends.REASON, or one of hemlockload's results."""
        result = self.load_results[name]
        if field == "good_share":
            return result["good"] / max(1, result["requests"])
        if field.startswith("ends."):
            return result["ends"].get(field[5:], 0)
        return result[field]

    def value_key(self, key, field):
        """Field: runs, the executions with this idempotency key at all running targets."""
        runs = 0
        for name, target in self.targets.items():
            if self.processes[name].poll() is None:
                runs += json.loads(self.http_get(target["node"], "/", 8001))["keys"].get(key, 0)
        return runs

    def value_keys(self, _, field):
        """Field: most_runs, the largest number of executions of one key at all running targets."""
        runs = {}
        for name, target in self.targets.items():
            if self.processes[name].poll() is None:
                for key, count in json.loads(self.http_get(target["node"], "/", 8001))["keys"].items():
                    runs[key] = runs.get(key, 0) + count
        return max(runs.values(), default=0)

    def value_target(self, node, field):
        return json.loads(self.http_get(node, "/", 8001))[field]

    def value_node(self, node, field):
        """Fields: those of the node's status, with dots between the levels."""
        value = json.loads(self.http_get(node, "/hemlock/v1/status"))
        for part in field.split("."):
            value = value[part]
        return value

    def value_control(self, host, field):
        return json.loads(self.http_get(host, "/hemlock/v1/control"))[field]

    def value_process(self, name, field):
        """Field: exit, the exit code, or "running"."""
        code = self.processes[name].poll()
        return "running" if code is None else code

    def value_policy(self, _, field):
        """Fields, for the whole system: revision, and laggards (nodes without the newest revision)."""
        code, out, error = self.ctl(["--output", "json", "policy", "status"])
        if not out:
            raise Failure(error)
        status = json.loads(out)
        return status["revision"] if field == "revision" else sum(node["lags"] for node in status["nodes"])

    # Execution.
    # Process names by the names that the step "leader" has given them.
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
        """Runs all steps until one fails. Returns the exit code."""
        with open(self.path) as file:
            lines = file.read().splitlines()
        for number, line in enumerate(lines, 1):
            column = len(line) - len(line.lstrip()) + 1
            location = f"{self.path}:{number}:{column}"
            try:
                self.run_line(line)
            except (Fault, IndexError, KeyError, ValueError) as error:
                print(f"{location}: {type(error).__name__}: {error}")
                return 2
            except (Failure, OSError, subprocess.TimeoutExpired) as error:
                print(f"{location}: failed: {error}")
                return 1
        return 0

    def stop(self):
        for process in list(self.processes.values()) + list(self.loads.values()):
            if process.poll() is None:
                process.kill()
                process.wait()
        self.network.close()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", required=True)
    parser.add_argument("files", nargs="+")
    options = parser.parse_args()
    worst_code = 0
    for path in options.files:
        scenario = Scenario(options.build, path)
        try:
            code = scenario.run()
        finally:
            scenario.stop()
        print(f"{path}: {('passed', 'FAILED', 'FAULT')[code]}" + (f", logs in {scenario.dir}" if code else ""))
        worst_code = max(worst_code, code)
    return worst_code


if __name__ == "__main__":
    sys.exit(main())

"""Daemons of the tests of processes, and their settings."""
import os
import resource
import subprocess
import tempfile
import time

START_S = 10

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


def make_full_pipe():
    """Returns the ends of a pipe, to read and to write, which accepts no more data."""
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    try:
        while True:
            os.write(writer, b"\n" * 512)
    except BlockingIOError:
        os.set_blocking(writer, True)
    return reader, writer


class Daemon:
    """A daemon that can be held while it reads its settings, which is before it
    has installed any handler. `limits` are pairs of a resource and its limit in bytes."""

    def __init__(self, binary, settings, address, limits=()):
        self.folder = tempfile.TemporaryDirectory(prefix="hemlockpoint-processes-")
        self.limits = limits
        self.settings = settings.format(ip=address)
        self.path = os.path.join(self.folder.name, "settings.toml")
        self.log_path = os.path.join(self.folder.name, "log")
        self.binary = binary
        self.process = None
        self.pipe = None

    def spawn(self, stdout, stderr):
        self.process = subprocess.Popen([self.binary, "--settings", self.path], stdout=stdout,
                                        stderr=stderr, preexec_fn=self.set_limits)

    def set_limits(self):
        resource.setrlimit(resource.RLIMIT_CORE, (0, 0))
        for number, limit in self.limits:
            resource.setrlimit(number, (limit, limit))

    def hold(self):
        """Starts the process and returns once it waits for its settings."""
        os.mkfifo(self.path)
        with open(self.log_path, "w") as log:
            self.spawn(log, log)
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
            self.spawn(stdout or log, log)

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

"""Control hosts and nodes of a soak run: daemon processes on loopback addresses."""
import asyncio
import os
import signal
import subprocess
import time
from functools import partial

import surroundings
from proxy import Proxy

CONTROL_HOSTS = 3
# Limit for a node to exit after SIGTERM; also its setting stop_within_s.
STOP_WITHIN_S = 6
# Time after which a started program has certainly been loaded.
LOAD_S = 0.5


class Daemon:
    """One daemon, which may be started several times.

    It listens for peers at real_ip. The other daemons reach it at public_ip,
    through a proxy that can delay, hold or reset the connections.
    """

    # Role, and ports of all listeners.
    ROLE = ""
    PORTS = ()

    def __init__(self, cluster, name, real_ip, public_ip):
        self.cluster = cluster
        self.name = name
        self.real_ip = real_ip
        self.proxy = Proxy(f"{public_ip}:7001", f"{real_ip}:7001")
        self.process = None
        self.started_at = 0.0
        self.is_paused = False
        # The soak has stopped or killed the process.
        self.is_end_expected = True
        # The end is in the cluster's list.
        self.is_end_noted = False
        self.data_folder = f"{cluster.folder}/{name}.data"
        self.is_first_start = True
        self.log_path = f"{cluster.folder}/{name}.log"
        # Size of the log when the process was started.
        self.log_offset = 0

    def settings(self):
        """Returns the text of the settings file."""
        raise NotImplementedError

    def common_settings(self):
        return (f'[node]\nname = "{self.name}"\ngroup = "soak"\nregion = "r"\n'
                f'failure_domain = "d{self.real_ip.split(".")[-1]}"\n'
                f'roles = ["{self.ROLE}"]\nserves = "routes"\n'
                f'[listen]\npeer = "{self.proxy.public}"\npeer_bind = "{self.proxy.real}"\n'
                f'admin = "{self.real_ip}:7002"\noutside = "{self.real_ip}:7003"\n')

    def start(self):
        """Starts the process, unless an overlapping fault has already done so."""
        if self.is_alive():
            return
        self.note_end()
        path = f"{self.cluster.folder}/{self.name}.toml"
        with open(path, "w") as file:
            file.write(self.settings())
        self.is_first_start = False
        limit = partial(surroundings.apply_limits, self.ROLE) if self.cluster.is_limited else None
        with open(self.log_path, "a") as log:
            self.log_offset = log.tell()
            self.process = subprocess.Popen([self.cluster.binary, "--settings", path],
                                            stdout=log, stderr=log, preexec_fn=limit,
                                            pass_fds=self.cluster.network.inherited)
        self.started_at = time.monotonic()
        self.is_end_expected = self.is_end_noted = False

    def note_end(self):
        """Notes in the cluster when the process has ended by itself, or by another signal than
        was sent to it. Returns whether it has ended by itself."""
        if self.process is None or self.is_alive() or self.is_end_noted:
            return False
        has_ended_by_itself = not self.is_end_expected
        code = self.process.returncode
        if has_ended_by_itself or (code < 0 and -code not in (signal.SIGTERM, signal.SIGKILL)):
            self.is_end_noted = True
            reason = surroundings.describe_end(self.log_path, self.log_offset)
            self.cluster.ends.append(f"{self.name} with {code}: {reason}")
        return has_ended_by_itself

    def is_alive(self):
        return self.process is not None and self.process.poll() is None

    def send_signal(self, number):
        """Sends a signal; does nothing when the process has ended."""
        if self.is_alive():
            self.process.send_signal(number)

    def kill(self):
        self.note_end()
        self.is_end_expected = True
        self.send_signal(signal.SIGKILL)
        self.process.wait()
        self.is_paused = False

    async def stop(self):
        """Sends SIGTERM and waits for the process to exit; kills it after
        STOP_WITHIN_S. Returns the seconds waited."""
        started_at = time.monotonic()
        self.note_end()
        self.is_end_expected = True
        self.send_signal(signal.SIGTERM)
        while self.is_alive() and time.monotonic() - started_at < STOP_WITHIN_S:
            await asyncio.sleep(0.02)
        waited_s = time.monotonic() - started_at
        if self.is_alive():
            self.kill()
        return waited_s

    def reload(self):
        """Sends SIGHUP, unless the program may not be loaded yet: no handler can exist then."""
        if time.monotonic() - self.started_at > LOAD_S:
            self.send_signal(signal.SIGHUP)

    def pause(self):
        self.send_signal(signal.SIGSTOP)
        self.is_paused = True

    def resume(self):
        self.send_signal(signal.SIGCONT)
        self.is_paused = False


class ControlHost(Daemon):
    ROLE = "control"
    PORTS = (7001, 7002, 7003)

    @property
    def operator_address(self):
        return f"{self.real_ip}:7003"

    def settings(self):
        seeds = ",".join(f'"{seed}"' for seed in self.cluster.seeds)
        return (self.common_settings() +
                f'[control]\nseeds = [{seeds}]\nlosses_borne = 1\n'
                f'form_group = {str(self.is_first_start).lower()}\n'
                f'data_folder = "{self.data_folder}"\n'
                f'[limits]\ndrain_timeout_ms = 1000\n')

    def wipe(self):
        """Deletes the stored data, as the loss of a disk does."""
        subprocess.run(["rm", "-rf", self.data_folder], check=True)


class Node(Daemon):
    ROLE = "node"
    PORTS = (7000, 7001, 7002, 7003, 7004)

    def __init__(self, cluster, name, real_ip, public_ip, service, target):
        super().__init__(cluster, name, real_ip, public_ip)
        self.service = service
        self.target = target

    @property
    def http_address(self):
        return f"{self.real_ip}:7000"

    def settings(self):
        seeds = ",".join(f'"{seed}"' for seed in self.cluster.seeds)
        return (self.common_settings() +
                f'http = "{self.http_address}"\nready = "{self.real_ip}:7004"\n'
                f'[target]\nendpoint = "{self.target}"\nservice = "{self.service}"\n'
                f'[control]\nseeds = [{seeds}]\n'
                f'[limits]\nconnections = 1200\nstop_within_s = {STOP_WITHIN_S}\n')


class Cluster:
    """All daemons of a run, at addresses of `network`. With `is_limited`, they run under
    limits of the system, if the program can."""

    def __init__(self, folder, binary, network, is_limited):
        self.folder = folder
        self.binary = binary
        self.network = network
        self.is_limited = is_limited and surroundings.can_be_limited(binary)
        # Descriptions of processes that have ended by themselves.
        self.ends = []
        os.makedirs(folder, exist_ok=True)
        self.seeds = [f"{self.network.prefix}.2.{i + 1}:7001" for i in range(CONTROL_HOSTS)]
        self.controls = [ControlHost(self, f"control-{i + 1}", f"{self.network.prefix}.1.{i + 1}",
                                     f"{self.network.prefix}.2.{i + 1}")
                         for i in range(CONTROL_HOSTS)]
        self.nodes = []

    def add_node(self, number, service, target):
        node = Node(self, f"node-{number}", f"{self.network.prefix}.3.{number}",
                    f"{self.network.prefix}.4.{number}", service, target)
        self.nodes.append(node)
        return node

    @property
    def daemons(self):
        return self.controls + self.nodes

    async def start(self):
        for daemon in self.daemons:
            await daemon.proxy.start()
        for daemon in self.daemons:
            daemon.start()

    def kill_all(self):
        for daemon in self.daemons:
            daemon.note_end()
            if daemon.is_alive():
                daemon.resume()
                daemon.kill()

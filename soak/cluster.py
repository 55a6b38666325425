"""The real daemons as processes of their own, on loopback addresses."""
import asyncio
import os
import signal
import subprocess
import time

from proxy import Proxy

CONTROL_HOSTS = 3
STOP_WITHIN_S = 6


class Daemon:
    """One process; the same settings file at each of its starts."""

    def __init__(self, cluster, name, real_ip, public_ip):
        self.cluster = cluster
        self.name = name
        self.real_ip = real_ip
        self.peer = Proxy(f"{public_ip}:7001", f"{real_ip}:7001")
        self.process = None
        self.paused = False
        self.data = f"{cluster.folder}/{name}.data"
        self.first_start = True

    def settings(self):
        raise NotImplementedError

    def common(self, role):
        return (f'[node]\nname = "{self.name}"\ngroup = "soak"\nregion = "r"\n'
                f'failure_domain = "d{self.real_ip.split(".")[-1]}"\n'
                f'roles = ["{role}"]\nserves = "routes"\n'
                f'[listen]\npeer = "{self.peer.public}"\npeer_bind = "{self.peer.real}"\n'
                f'admin = "{self.real_ip}:7002"\noutside = "{self.real_ip}:7003"\n')

    def start(self):
        path = f"{self.cluster.folder}/{self.name}.toml"
        with open(path, "w") as file:
            file.write(self.settings())
        self.first_start = False
        log = open(f"{self.cluster.folder}/{self.name}.log", "a")
        self.process = subprocess.Popen([self.cluster.binary, "--settings", path],
                                        stdout=log, stderr=log)
        log.close()

    def alive(self):
        return self.process is not None and self.process.poll() is None

    def send_signal(self, number):
        if self.alive():
            self.process.send_signal(number)

    def kill(self):
        self.send_signal(signal.SIGKILL)
        self.process.wait()
        self.paused = False

    async def stop(self):
        """Asks the process to end. Returns how long that took; a process that
        is still there when its time is up is killed."""
        begun = time.monotonic()
        self.send_signal(signal.SIGTERM)
        while self.alive() and time.monotonic() - begun < STOP_WITHIN_S:
            await asyncio.sleep(0.02)
        took = time.monotonic() - begun
        if self.alive():
            self.kill()
        return took

    def pause(self):
        self.send_signal(signal.SIGSTOP)
        self.paused = True

    def resume(self):
        self.send_signal(signal.SIGCONT)
        self.paused = False


class Control(Daemon):
    @property
    def operator_address(self):
        return f"{self.real_ip}:7003"

    def settings(self):
        seeds = ",".join(f'"{seed}"' for seed in self.cluster.seeds)
        return (self.common("control") +
                f'[control]\nseeds = [{seeds}]\nlosses_borne = 1\n'
                f'form_group = {str(self.first_start).lower()}\n'
                f'data_folder = "{self.data}"\n'
                f'[limits]\ndrain_timeout_ms = 1000\n')

    def wipe(self):
        subprocess.run(["rm", "-rf", self.data], check=True)


class Node(Daemon):
    def __init__(self, cluster, name, real_ip, public_ip, service, target):
        super().__init__(cluster, name, real_ip, public_ip)
        self.service = service
        self.target = target

    @property
    def callers_address(self):
        return f"{self.real_ip}:7000"

    def settings(self):
        seeds = ",".join(f'"{seed}"' for seed in self.cluster.seeds)
        return (self.common("node") +
                f'http = "{self.callers_address}"\nready = "{self.real_ip}:7004"\n'
                f'[target]\nendpoint = "{self.target}"\nservice = "{self.service}"\n'
                f'[control]\nseeds = [{seeds}]\n'
                f'[limits]\nconnections = 500\nstop_within_s = {STOP_WITHIN_S}\n')


class Cluster:
    def __init__(self, folder, binary, net):
        self.folder = folder
        self.binary = binary
        self.net = net
        os.makedirs(folder, exist_ok=True)
        self.seeds = [f"{net}.2.{i + 1}:7001" for i in range(CONTROL_HOSTS)]
        self.controls = [Control(self, f"control-{i + 1}", f"{net}.1.{i + 1}", f"{net}.2.{i + 1}")
                         for i in range(CONTROL_HOSTS)]
        self.nodes = []

    def add_node(self, number, service, target):
        node = Node(self, f"node-{number}", f"{self.net}.3.{number}",
                    f"{self.net}.4.{number}", service, target)
        self.nodes.append(node)
        return node

    @property
    def daemons(self):
        return self.controls + self.nodes

    async def start(self):
        for daemon in self.daemons:
            await daemon.peer.start()
        for daemon in self.daemons:
            daemon.start()

    def end(self):
        for daemon in self.daemons:
            if daemon.alive():
                daemon.resume()
                daemon.kill()

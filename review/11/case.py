"""One disk after another is lost while a third control host is without power."""
import json
import os
import re
import shutil
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "rig3"))
from rig import (CannotRun, CONTROL_PORT, INTERNAL_PORTS, Rig, call, make_config,  # noqa: E402
                 make_route, operator_call)

CATCH_UP_S = 4.0
DARK_S = 5.0            # of the host without power
RECOVERY_S = 15
READ_S = 25             # after the recovery time


def log_of(rig, machine):
    with open(os.path.join(rig.folder, f"{machine.name}.log")) as file:
        return file.read()


def await_line(rig, machine, pattern, seconds):
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        if re.search(pattern, log_of(rig, machine)):
            return
        time.sleep(0.002)
    raise CannotRun(f"{machine.name} logged no {pattern}")


def wipe(rig, machine):
    machine.kill()
    shutil.rmtree(machine.data)
    os.makedirs(machine.data)
    machine.bootstrap = False
    rig.note(f"{machine.name} has lost its disk")


def put(rig, core, base, version):
    config = make_config(version, [make_route("r", f"/r{version}/", "safe", "lager")], ["lager"])
    until = rig.now() + 15
    while rig.now() < until:
        status, body = operator_call([machine.ip for machine in core], "PUT", config, base)
        if status == 200:
            rig.note(f"config {version:08x} is acknowledged")
            return
        time.sleep(0.2)
    raise CannotRun(f"config {version} wasn't accepted: {status} {body[:200]!r}")


def read(rig, core):
    """Reads the config at each host. Returns the newest version that came."""
    newest = None
    for machine in core:
        status, body = operator_call([machine.ip], "GET")
        if status == 200:
            newest = max(newest or 0, int(json.loads(body)["version"], 16))
    return newest


def run(rig, trouble):
    core = [rig.add("control", number, zone) for number, zone in ((11, "a"), (12, "b"), (13, "c"))]
    rig.seeds = [f"{machine.ip}:{CONTROL_PORT}" for machine in core]
    for machine in core:
        machine.start()
        machine.bootstrap = False
    put(rig, core, 0, 5)
    time.sleep(3)
    leaders = [machine for machine in core if re.search(
        rb"^hemlockpoint_leads 1$", call(machine.ip, INTERNAL_PORTS[1], "GET", "/metrics")[2], re.M)]
    if len(leaders) != 1:
        raise CannotRun("there isn't one leader")
    leader = leaders[0]
    wiped, dark = [machine for machine in core if machine is not leader]
    rig.note(f"the leader is {leader.name}")
    if trouble:
        wipe(rig, wiped)
        time.sleep(0.5)
        wiped.start()
        await_line(rig, leader, "group_changed action=remove", 8)
        # The wiped host stands still once more, until the other one is without power.
        wiped.send_signal(signal.SIGSTOP)
        await_line(rig, leader, "group_changed action=add.*committed", 4)
        dark.kill()
        dark_until = rig.now() + DARK_S
        wiped.send_signal(signal.SIGCONT)
        back_at = rig.now()
        time.sleep(0.3)
        put(rig, core, 5, 9)
        time.sleep(back_at + CATCH_UP_S + 0.2 - rig.now())
        wipe(rig, leader)
        time.sleep(max(0.0, dark_until - rig.now()))
        dark.start()
        time.sleep(0.5)
        leader.start()
    else:
        put(rig, core, 5, 9)
    rig.note("all hosts are back")
    time.sleep(RECOVERY_S)
    until = rig.now() + READ_S
    newest = read(rig, core)
    while newest != 9 and rig.now() < until:
        time.sleep(0.5)
        newest = read(rig, core)
    if not all(machine.is_running() for machine in core):
        raise CannotRun("a process has ended")
    rig.note(f"newest config that was acknowledged: 00000009; read back: {newest}")
    print(f"read back: {newest}")
    return newest != 9


def main():
    rig = Rig(sys.argv[1])
    try:
        is_broken = run(rig, os.environ.get("TROUBLE") != "0")
        rig.note("the config doesn't come" if is_broken else "the rule held")
        return 1 if is_broken else 0
    except CannotRun as error:
        rig.note(f"couldn't run: {error}")
        print(error)
        return 2
    finally:
        if os.environ.get("KEEP"):
            shutil.copytree(rig.folder, os.environ["KEEP"], dirs_exist_ok=True)
        rig.close()


sys.exit(main())

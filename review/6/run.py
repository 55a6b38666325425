"""Config changes while node machines stand still: do the control processes stay up?
TROUBLE=0 leaves the machines running."""
import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "rig2"))
from rig2 import Site, main, route

HERE = os.path.dirname(os.path.abspath(__file__))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# A storm: a change each GAP_S.
GAP_S = 0.1
CHANGES = 25
FREEZE_S = 2.0
EPISODES = 24
LAST_EPISODE_AT_S = 98
# The rule: on half of the core, processes end by themselves three times.
ENDS = 3


def routes(version):
    return ([route(f"r{i}", "h.example", f"/p{i}/", "safe", "photos", timeout_ms=3000 + version)
             for i in range(12)] + [route("s", "h.example", "/s/", "unsafe", "sales")])


class Watch:
    """Notes each control process that ends by itself, and starts it again as the platform does."""

    def __init__(self, site):
        self.site = site
        self.ends = {machine.name: 0 for machine in site.controls}

    async def run(self):
        while True:
            for machine in self.site.controls:
                if not machine.is_alive():
                    self.ends[machine.name] += 1
                    self.site.note(f"{machine.name} has ended by itself with "
                                   f"{machine.process.returncode}; the end of its log:")
                    with open(os.path.join(self.site.folder, machine.name + ".log")) as log:
                        self.site.record.writelines("    " + line for line in log.readlines()[-3:])
                    await asyncio.sleep(1.0)
                    await machine.start()
            await asyncio.sleep(0.05)

    def is_broken(self):
        often = [name for name, count in self.ends.items() if count >= ENDS]
        return 2 * len(often) >= len(self.ends)


async def stand_still(site, nodes):
    for node in nodes:
        node.send_signal(signal.SIGSTOP)
    began = time.monotonic()
    await asyncio.sleep(FREEZE_S)
    for node in nodes:
        node.send_signal(signal.SIGCONT)
    site.note(f"{' '.join(node.name for node in nodes)} stood still for "
              f"{time.monotonic() - began:.2f} s")


async def storm(site, watch, nodes):
    """One change each GAP_S. After two of them, `nodes`, half of all, stand still."""
    pause = None
    due = time.monotonic()
    for number in range(CHANGES):
        if number == 2 and TROUBLE:
            await asyncio.sleep(0.15)
            pause = asyncio.create_task(stand_still(site, nodes))
        await site.put_config(routes(site.version + 1), patience=6.0)
        due += GAP_S
        await asyncio.sleep(max(0.0, due - time.monotonic()))
    if pause:
        await pause
    site.note(f"own ends so far: {watch.ends}")


async def case():
    site = Site(os.path.join(HERE, "record.txt"), ["photos", "photos", "sales", "sales"])
    try:
        await site.start()
        if await site.put_config(routes(0)) != 200 or not await site.until_ready():
            return 2
        watch = Watch(site)
        site.tasks.append(asyncio.create_task(watch.run()))
        for episode in range(EPISODES):
            if time.monotonic() - site.began > LAST_EPISODE_AT_S or watch.is_broken():
                break
            await site.until_ready(5)
            await asyncio.sleep(1)
            # The halves take turns.
            await storm(site, watch, site.nodes[episode % 2::2])
        await asyncio.sleep(1)
        site.note(f"control processes have ended by themselves: {watch.ends}")
        return 1 if watch.is_broken() else 0
    finally:
        await site.close()


main(case)

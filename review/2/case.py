"""Nodes are stopped and started in turn, and so is the control host that leads."""
import asyncio
import os
import random
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
import rig as r

ROUNDS = 13
LAST_START_S = 94
IN_TURN = 3           # steps of a round, two machines a step (two rolls at once)
GAP_S = 1.0
WORK_S = 3.5
REQUESTS = 4          # in flight at each machine when it gets SIGTERM
RESTART_DELAY_S = 0.5
LAST_SIXTH_S = r.BOUNDS["grace_s"] * 5 / 6


async def ask(entry, request_id, record, results, machine):
    result = {"id": request_id, "machine": machine.name, "sent": time.monotonic(), "status": None,
              "sealed": False, "ended": None}
    results.append(result)
    try:
        reader, writer = await r.connect(entry)
        writer.write(r.encode("GET /count/ HTTP/1.1", {
            "Host": "count.example", "X-Request-Id": request_id, "X-Deadline-Ms": "8000"}))
        message = await asyncio.wait_for(r.read_message(reader), 9)
        result["status"] = message.status if message else "closed without an answer"
        result["sealed"] = bool(message) and "x-server-seal" in message.fields
        writer.close()
    except (r.Broken, OSError) as error:
        result["status"] = f"closed without an answer: {error}"
    except asyncio.TimeoutError:
        result["status"] = "no answer"
    result["ended"] = time.monotonic()
    record.add("request", id=request_id, entry=machine.name, status=result["status"],
               sealed=result["sealed"], sent=round(result["sent"] - record.started, 4))


async def find_leader(rig):
    """The control host that answers the operator without a redirect."""
    for _ in range(100):
        for machine in rig.controls:
            try:
                response = await r.call(machine.address("control"), "GET", "/hemlockpoint/config")
                if response.status == 200:
                    return machine
            except r.Broken:
                pass
        await asyncio.sleep(0.1)
    return None


async def stop_and_start(machine, record):
    stopped_at = time.monotonic()
    machine.send_signal(signal.SIGTERM)
    record.add("sigterm", machine=machine.name)
    while machine.is_alive() and time.monotonic() - stopped_at < r.BOUNDS["grace_s"]:
        await asyncio.sleep(0.01)
    machine.kill()
    record.add("ended", machine=machine.name, after_s=round(time.monotonic() - stopped_at, 3))
    await asyncio.sleep(RESTART_DELAY_S)
    machine.start()


async def case(make_rig, record, trouble):
    rig = make_rig({"stock": 3, "gate": 12})
    began = {}

    async def work(request):
        began[request.fields["x-request-id"]] = time.monotonic()
        await asyncio.sleep(WORK_S)
        return b"sacks"

    await r.start_system(rig, record, {"stock": {"work": work, "slots": 142}})
    config = r.make_config(1, [r.make_route("r-count", "count.example", "/count/", "safe", "stock",
                                            8000, max_attempts=1)], ["stock", "gate"])
    if await r.put_config(rig, config, 0) != 200 or not await r.await_ready(rig):
        return r.CANNOT_RUN
    await asyncio.sleep(5)
    record.say("the system is ready")
    results, cut, number = [], [], 0
    gates = rig.of("gate")
    for round_number in range(ROUNDS):
        if record.now() > LAST_START_S:
            break
        leader = await find_leader(rig)
        if leader is None:
            return r.CANNOT_RUN
        tasks, rolls, stopped = [], [], {}
        for step in range(IN_TURN):
            pair = [gates[(round_number * 2 * IN_TURN + 2 * step + i) % len(gates)]
                    for i in range(2)]
            for machine in pair:
                for _ in range(REQUESTS):
                    number += 1
                    tasks.append(asyncio.create_task(ask(
                        machine.address("outbound"), f"{number:08x}ff", record, results, machine)))
            pauses = sorted(random.uniform(0.05, 0.55) for _ in pair)
            for machine, pause, before in zip(pair, pauses, [0.0] + pauses):
                await asyncio.sleep(pause - before)
                stopped[machine.name] = time.monotonic()
                rolls.append(asyncio.create_task(stop_and_start(machine, record)))
            await asyncio.sleep(GAP_S - pauses[-1])
        if trouble:
            record.add("leader", machine=leader.name)
            rolls.append(asyncio.create_task(stop_and_start(leader, record)))
        first = len(results) - len(tasks)
        await asyncio.gather(*tasks)
        await asyncio.gather(*rolls)
        lost = [x for x in results[first:]
                if not x["sealed"] and x["id"] in began
                and x["ended"] - stopped[x["machine"]] < LAST_SIXTH_S
                and x["ended"] - began[x["id"]] < WORK_S]
        cut += lost
        record.say(f"round {round_number}: {leader.name} led; {len(tasks)} requests at machines "
                   f"that got SIGTERM, {len(lost)} given up while their server was at work: "
                   f"{sorted({(x['machine'], x['status']) for x in lost})}")
        if not await r.await_ready(rig):
            return r.CANNOT_RUN
        await asyncio.sleep(1.5)
    record.say(f"{len(results)} requests, {len(cut)} given up while their server was at work")
    return r.BROKEN if cut else r.HELD


r.run_case(os.path.dirname(os.path.abspath(__file__)), case)

"""A daemon is killed just after it has acknowledged that its backend leaves: is the backend used again?"""

import asyncio
import os
import random
import sys
import time

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))

from standins import (TROUBLE, ZONES, Backend, Broken, Impossible, Machine, Store, call, config, main, route)

HOST, SERVICE, PREFIX = "jepu9.example", "decisions", "/notices/"

# Bounds of the platform.
DRAIN_S, SETTLE_WINDOW_S = 2.0, 3.0

# The backend serves on for this long after its farewell and exits; `scale_in` with `stay` has 15 s.
STAY_S = 6.0

# How late the heartbeat arrives that was sent before the farewell.
LATE_S = 2.0

RATE_PER_S = 40

WORK_S = 0.2


async def play(record, folder):
    store = await Store().start()
    routes = [route("r-notices", HOST, PREFIX, "non_idempotent", SERVICE)]
    store.write_config(config(7, routes, [SERVICE]))
    machines = [Machine(f"sidecar-{ZONES[0]}-{number}", ZONES[0], SERVICE, store, record, folder) for number in (1, 2, 3)]
    for machine in machines:
        machine.start()
    backends = [await Backend(machine, record, work=WORK_S).start() for machine in machines]
    for machine in machines:
        await machine.wait_ready()
    await asyncio.sleep(3)
    leaving, others = backends[0], machines[1:]
    stop, answers = asyncio.Event(), {}

    async def send(number):
        id = f"{number:05d}-{random.getrandbits(32):08x}"
        headers = [("Host", HOST), ("Request-Id", id), ("Deadline-Ms", "4000")]
        record(f"client: sends {id}")
        try:
            answer = await call(others[number % 2].listen["outbound"], "POST", f"{PREFIX}{number}", headers, b"notice", 5)
            answers[id] = answer.status
            record(f"client: {id} answered {answer.status}")
        except (Broken, OSError, asyncio.TimeoutError) as error:
            record(f"client: {id} has no answer ({error!r})")

    async def clients():
        number, tasks = 0, []
        while not stop.is_set():
            tasks.append(asyncio.create_task(send(number)))
            number += 1
            await asyncio.sleep(1 / RATE_PER_S)
        await asyncio.gather(*tasks)

    traffic = asyncio.create_task(clients())
    await asyncio.sleep(4)
    leaving.beats.cancel()
    late = leaving.heartbeat()
    sent = time.monotonic()
    record(f"{leaving.id}: sends heartbeat {leaving.sequence}, which will be late")
    await asyncio.sleep(0.3)
    status = await leaving.send("DELETE", b"")
    if status != 200:
        raise Impossible(f"the farewell was answered {status}")
    acknowledged = time.monotonic()
    record(f"{leaving.id}: its farewell is acknowledged; it serves on for {STAY_S} s")
    in_touch = 0.0
    if TROUBLE:
        machines[0].kill()
        await asyncio.sleep(0.7)
        machines[0].start()
        in_touch = time.monotonic() + SETTLE_WINDOW_S
        await machines[0].wait_ready()
    await asyncio.sleep(max(0.0, sent + LATE_S - time.monotonic()))
    record(f"{leaving.id}: heartbeat of {time.monotonic() - sent:.1f} s ago arrives, answered "
           f"{await leaving.send('PUT', late)}")
    await asyncio.sleep(max(0.0, acknowledged + STAY_S - time.monotonic()))
    leaving.exit()
    gone = time.monotonic()
    await asyncio.sleep(2)
    stop.set()
    await traffic
    for id, at, *_ in leaving.runs:
        if at + WORK_S > gone:
            record(f"{id} was cut when {leaving.id} exited, and is answered {answers.get(id)}")
    bound = max(acknowledged + DRAIN_S, in_touch)
    record(f"drain ends {acknowledged + DRAIN_S - record.start:.3f} s, all machines are in touch "
           f"from {in_touch - record.start if in_touch else 0:.3f} s on")
    return [f"DRAIN: {id} reaches {leaving.id} {arrived - acknowledged:.2f} s after the acknowledgement"
            for id, _, _, _, _, arrived in leaving.runs if arrived > bound]


main(HERE, play)

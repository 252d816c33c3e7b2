"""A second copy of a rejection, late, on a connection that is in use again: is it taken for the next request's?"""

import asyncio
import os
import random
import sys

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))

from standins import (TROUBLE, ZONES, Backend, Broken, Machine, Store, call, config, main, route)

HOST, SERVICE, PREFIX = "jepu9.example", "decisions", "/notices/"

# `srv_grey shed all`: every backend rejects this share of its requests, SHED_S long.
SHED_SHARE, SHED_S = 0.45, 8.5

# `garble extra late`: of the answers of EXTRA_BACKENDS of 5 backends, a second copy of this share arrives, EXTRA_S long.
EXTRA_SHARE, EXTRA_S, EXTRA_BACKENDS = 0.03, 5.0, 3

# Both come this often, with a pause between.
SPELLS, PAUSE_S = 4, 2.0

RATE_PER_S = 112

# For a look at either alone: TROUBLE=1 with ONLY=shed or ONLY=extra.
ONLY = os.environ.get("ONLY", "")


class FaultyBackend(Backend):
    """A backend that rejects some requests, and repeats some answers where the next one on the connection is due."""

    sheds = repeats = False

    def __init__(self, *args, **fields):
        super().__init__(*args, **fields)
        self.extra, self.faulty = {}, False

    async def respond(self, writer, connection, id, method, path, headers, body, arrived):
        extra = self.extra.pop(connection, None)
        if extra is not None:
            of, copy = extra
            self.record(f"{self.id}: the second copy of the answer to {of} goes out where that to {id} is due")
            writer.write(copy)
        if (FaultyBackend.sheds and random.random() < SHED_SHARE) or self.running >= self.slots:
            answer = self.answer(id, 503, [("Not-Executed", "1")], b"full", signed=False)
            self.record(f"{self.id}: request {id} rejected")
        else:
            answer = await self.run(id, method, path, headers, body, arrived)
        writer.write(answer)
        if self.faulty and FaultyBackend.repeats and random.random() < EXTRA_SHARE:
            self.extra[connection] = (id, answer)


async def play(record, folder):
    store = await Store().start()
    routes = [route("r-notices", HOST, PREFIX, "non_idempotent", SERVICE)]
    store.write_config(config(7, routes, [SERVICE]))
    places = [ZONES[0], ZONES[0], ZONES[1], ZONES[1], ZONES[2]]
    machines = [Machine(f"sidecar-{zone}-{number}", zone, SERVICE, store, record, folder)
                for number, zone in enumerate(places)]
    for machine in machines:
        machine.start()
    backends = [await FaultyBackend(machine, record).start() for machine in machines]
    for backend in backends[:EXTRA_BACKENDS]:
        backend.faulty = True
    for machine in machines:
        await machine.wait_ready()
    await asyncio.sleep(3)
    answers, stop = {}, asyncio.Event()

    async def send(number):
        id = f"{number:05d}-{random.getrandbits(32):08x}"
        headers = [("Host", HOST), ("Request-Id", id), ("Deadline-Ms", "4000")]
        address = machines[number % len(machines)].listen["outbound"]
        record(f"client: sends {id}")
        try:
            answer = await call(address, "POST", f"{PREFIX}{number}", headers, b"notice", 5)
            answers[id] = answer.status
        except (Broken, OSError, asyncio.TimeoutError) as error:
            answers[id] = f"none ({error!r})"
        record(f"client: {id} answered {answers[id]}")

    async def clients():
        tasks = []
        while not stop.is_set():
            tasks.append(asyncio.create_task(send(len(tasks))))
            await asyncio.sleep(1 / RATE_PER_S)
        await asyncio.gather(*tasks)

    traffic = asyncio.create_task(clients())
    await asyncio.sleep(1)
    for spell in range(SPELLS):
        record(f"spell {spell} begins")
        FaultyBackend.sheds = TROUBLE and ONLY != "extra"
        FaultyBackend.repeats = TROUBLE and ONLY != "shed"
        await asyncio.sleep(EXTRA_S)
        FaultyBackend.repeats = False
        await asyncio.sleep(SHED_S - EXTRA_S)
        FaultyBackend.sheds = False
        record(f"spell {spell} ends")
        await asyncio.sleep(PAUSE_S)
    stop.set()
    await traffic
    await asyncio.sleep(1)
    runs = {}
    for backend in backends:
        for id, *_ in backend.runs:
            runs.setdefault(id, []).append(backend.id)
    broken = [f"TWICE: {id} ran at {at}" for id, at in runs.items() if len(at) > 1]
    broken += [f"REFUSED: {id} answered {answers[id]} and ran at {at}" for id, at in runs.items()
               if answers[id] in (408, 421, 429, 503)]
    record(f"{len(answers)} requests sent, {sum(len(at) for at in runs.values())} runs, "
           f"{sum(status == 200 for status in answers.values())} answered 200")
    return broken


main(HERE, play)

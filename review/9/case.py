"""BUDGET: all processes are killed after a request has crashed three replicas."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))

import standins

GATEWAYS = 3
REPLICAS = 8
# Sound requests a second.
RATE = 10.0
WORK_S = 0.09
# The request that crashes replicas comes again at this interval, and a
# replica is back after some seconds.
INTERVAL_S = 6.0
REPAIR_S = 3.0
ROUNDS = 9
# All processes are killed this long after the third crash.
KILL_AFTER_S = 2.0
CONTACT_S = 3.0
MAX_RETRIES = 3
DEADLY = b"the same delivery, booked again"


async def case(site):
    """Return whether the rule was broken."""
    # Time and machine of each arrival of the request that crashes replicas.
    arrivals = []
    crashes_s = []
    machine_by_id = {}
    third_crash = asyncio.Event()

    async def work(replica, line, headers, body):
        ident = headers["quetzalward-attempt-id"]
        if body != DEADLY:
            await asyncio.sleep(WORK_S)
            return 200, {}, b"x" * 800
        machine = machine_by_id[ident]
        arrivals.append((site.now(), machine))
        crashes_s.append(site.now())
        site.note(f"{ident} from {machine.name} crashes {replica.name}")
        site.tasks.append(asyncio.create_task(repair(replica)))
        if len(crashes_s) == 3:
            third_crash.set()
        return None

    async def repair(replica):
        await asyncio.sleep(REPAIR_S)
        await replica.start()
        site.note(f"{replica.name} is back")

    async def client(body):
        ident, gateway = standins.attempt_id(), site.entry()
        machine_by_id[ident] = gateway
        _, status, _ = await standins.send(
            gateway, "POST", "/book/2f", body, ident=ident
        )
        what = "the request that crashes" if body == DEADLY else "a sound one"
        site.note(f"{ident}, {what}, by {gateway.name} is answered {status}")

    async def clients():
        number = 0
        while True:
            await asyncio.sleep(site.rng.expovariate(RATE))
            number += 1
            body = f"delivery {number}".encode()
            site.tasks.append(asyncio.create_task(client(body)))

    async def kill_all():
        await third_crash.wait()
        await asyncio.sleep(KILL_AFTER_S)
        for gateway in site.gateways:
            gateway.kill()
        site.note("SIGKILL of all gateways")
        await asyncio.sleep(standins.RESTART_S)
        for gateway in site.gateways:
            gateway.start()
        site.note("all gateways are started again")

    for number in range(REPLICAS):
        replica = standins.Replica(
            site.store, f"i-{number}", "desk", f"z{number % 3}", work
        )
        site.replicas.append(replica)
        await replica.start()
    site.publish(
        [standins.plain_route("/book/", "non_idempotent", "desk")],
        [standins.plain_service("desk")],
    )
    await site.start()
    site.tasks.append(asyncio.create_task(clients()))
    if standins.has_trouble():
        site.tasks.append(asyncio.create_task(kill_all()))
    await asyncio.sleep(3)
    for _ in range(ROUNDS):
        site.tasks.append(asyncio.create_task(client(DEADLY)))
        await asyncio.sleep(INTERVAL_S)

    retries = [
        at_s
        for at_s, machine in arrivals
        if len(crashes_s) >= 3
        and at_s > crashes_s[2] + CONTACT_S
        # In touch: no kill and no start in the time before.
        and at_s - machine.started_s + site.zero_s > CONTACT_S
    ]
    site.note(
        f"{len(retries)} retries reached replicas, sent by machines in touch"
        f" later than {CONTACT_S} s after the third crash; the bound is"
        f" {MAX_RETRIES}"
    )
    print(site.lines[-1])
    return len(retries) > MAX_RETRIES


standins.run(case, GATEWAYS)

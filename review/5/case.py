"""A part of a prompt crashes each replica that begins to answer on it.

The prompts have more than 64 parts, and that part is behind the 64th.
"""

import asyncio
import collections
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))
import standins  # noqa: E402

KEY = "n2ctnfzs989anu6wsjnb"
CONTACT_S = 3.0
ALLOWED = 3
CRASHES = 5
PARTS = 70
# Where the part stands among the others.
PLACE = 66
POISON = "dead0001"
EVENTS = 20
BACK_S = 2.5
SOUND_EVERY_S, POISON_EVERY_S = 0.06, 1.0
RUN_S = 45.0


async def case(record, trouble, folder, nodes):
    store = standins.Store()
    await store.start()
    routes = [
        standins.route(
            "draft",
            "streaming",
            "pool",
            canResume=True,
            maxAttempts=2,
            gapAimMs=300,
            sticky=True,
            timeoutMs=8000,
        )
    ]
    document = standins.configuration(
        3, routes, [{"name": "hire", "apiKeys": [KEY]}], with_engine=True
    )
    store.put_json(standins.OP, "config", document)
    crashes, arrivals = [], []

    async def come_back(replica):
        await asyncio.sleep(BACK_S)
        await replica.restart()
        record(f"{replica.id} is back")

    def has_poison(request):
        prefix = request.headers.get("quetzalward-prompt-prefix", "")
        ids = [entry.partition(":")[0] for entry in prefix.split(",")]
        return POISON in ids[:-1]

    async def serve(replica, request, writer):
        if has_poison(request):
            arrivals.append((standins.now_s(), request.attempt))
        headers = {
            **replica.sealed(request),
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        writer.write(standins.head_bytes(200, headers))
        await asyncio.sleep(0.02)
        if trouble and has_poison(request):
            crashes.append(standins.now_s())
            record(f"{replica.id} crashes under {request.attempt}")
            replica.crash()
            restarts.append(asyncio.create_task(come_back(replica)))
            return False
        first = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(first, EVENTS + 1):
            data = f"id: {number}\ndata: {request.attempt}:{number}\n\n"
            data = data.encode()
            writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
            await writer.drain()
            await asyncio.sleep(0.03)
        writer.write(b"0\r\n\r\n")
        return None

    restarts = []
    replicas = [
        standins.ModelReplica(store, record, f"i-{n}", serve)
        for n in range(12)
    ]
    for replica in replicas:
        await replica.register()
    for n in range(3):
        node = standins.Node(f"front-{n}", folder, store.port)
        nodes.append(node)
        await node.start()

    async def are_open():
        groups = [replica.group for replica in replicas if replica.group]
        return sum(group["state"] == "open" for group in groups) >= 9

    for node in nodes:
        await standins.wait_until(node.is_ready, f"readiness of {node.name}")
    await standins.wait_until(are_open, "nine open groups")
    await asyncio.sleep(CONTACT_S)
    statuses, calls = collections.Counter(), []

    async def send(number, is_poison):
        attempt, node = f"a{number:04d}", nodes[number % len(nodes)]
        ids = [f"{index:08x}" for index in range(PARTS)]
        if is_poison:
            ids[PLACE] = POISON
        prefix = ",".join(f"{name}:2" for name in ids)
        headers = standins.headers_of(attempt, KEY, 8000)
        headers["Quetzalward-Model"] = "m0"
        headers["Quetzalward-Token-Count"] = f"200,{EVENTS * 7}"
        headers["Quetzalward-Prompt-Prefix"] = f"{prefix},{attempt}:60"
        kind = "poison" if is_poison else "sound"
        record(f"client sends {attempt} ({kind}) to {node.name}")
        try:
            answer = await standins.call(
                node.front, "POST", "/draft/1", headers, b"{}", 10.0
            )
        except (OSError, EOFError, TimeoutError) as error:
            record(f"client gets no answer to {attempt}: {error!r}")
            statuses[f"{kind}: none"] += 1
            return
        whole = "whole" if answer.complete else "broken off"
        record(f"client gets {answer.status} for {attempt}, {whole}")
        statuses[f"{kind}: {answer.status} {whole}"] += 1

    begin_s = standins.now_s()
    next_sound_s = begin_s
    next_poison_s = begin_s + 4.0
    while standins.now_s() < begin_s + RUN_S:
        if standins.now_s() >= next_sound_s:
            next_sound_s += SOUND_EVERY_S
            calls.append(asyncio.create_task(send(len(calls), False)))
        if standins.now_s() >= next_poison_s:
            next_poison_s += POISON_EVERY_S
            calls.append(asyncio.create_task(send(len(calls), True)))
        await asyncio.sleep(0.005)
    await asyncio.gather(*calls)
    for task in restarts:
        task.cancel()
    record(f"{len(crashes)} crashes; answers: {dict(statuses)}")
    if not trouble:
        return []
    if not crashes:
        raise standins.CannotRun("no replica crashed")
    if len(crashes) < CRASHES:
        return []
    from_s = crashes[CRASHES - 1] + CONTACT_S
    late = [attempt for at_s, attempt in arrivals if at_s > from_s]
    record(f"after the fifth crash and contactMs, replicas get {late}")
    if len(late) > ALLOWED:
        return [
            f"BUDGET {len(late)} requests with the part reached replicas "
            f"later than contactMs after the fifth crash; {ALLOWED} may; "
            f"{len(crashes)} crashes; {dict(statuses)}"
        ]
    return []


standins.main(HERE, case)

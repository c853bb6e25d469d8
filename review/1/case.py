"""Replicas are added to a second service that serves the same model.

A route goes to the first service only; none of its requests may run at the
second one.
"""

import asyncio
import collections
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))
import standins  # noqa: E402

KEY = "n2ctnfzs989anu6wsjnb"
EVENTS = 5
CALM_S, RUN_S = 3.0, 18.0
SEND_EVERY_S = 0.05
# Two replicas are added, this far apart, and then two more.
ADD_GAP_S = 1.0


async def case(record, trouble, folder, nodes):
    store = standins.Store()
    await store.start()
    more = {
        "canResume": True,
        "maxAttempts": 2,
        "gapAimMs": 300,
        "sticky": True,
        "timeoutMs": 8000,
    }
    routes = [
        standins.route("draft", "streaming", "pool", **more),
        standins.route("next", "streaming", "pool-next", **more),
    ]
    tenants = [{"name": "hire", "apiKeys": [KEY]}]
    document = standins.configuration(3, routes, tenants, with_engine=True)
    document["services"].append(
        {
            "name": "pool-next",
            "healthPath": "/healthz",
            "engine": standins.engine(),
        }
    )
    store.put_json(standins.OP, "config", document)

    async def serve(replica, request, writer):
        headers = {
            **replica.sealed(request),
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        writer.write(standins.head_bytes(200, headers))
        first = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(first, EVENTS + 1):
            data = f"id: {number}\ndata: {request.attempt}:{number}\n\n"
            data = data.encode()
            writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
            await writer.drain()
            await asyncio.sleep(0.03)
        writer.write(b"0\r\n\r\n")
        return None

    def replica(name, service):
        made = standins.ModelReplica(store, record, name, serve)
        made.service = service
        return made

    first = [replica(f"i-{n}", "pool") for n in range(4)]
    second = [replica(f"i-1{n}", "pool-next") for n in range(4)]
    for made in first:
        await made.register()
    for n in range(2):
        node = standins.Node(f"front-{n}", folder, store.port)
        nodes.append(node)
        await node.start()

    def is_open(replicas, count):
        async def check():
            groups = [made.group for made in replicas if made.group]
            return sum(g["state"] == "open" for g in groups) >= count

        return check

    for node in nodes:
        await standins.wait_until(node.is_ready, f"readiness of {node.name}")
    await standins.wait_until(is_open(first, 3), "three open groups")
    await asyncio.sleep(1.0)
    statuses, calls = collections.Counter(), []

    async def send(number):
        attempt, node = f"a{number:04d}", nodes[number % len(nodes)]
        record(f"client sends {attempt} /draft/1 to {node.name}")
        headers = standins.stream_headers(
            attempt, KEY, 8000, f"{number % 7:x}", EVENTS
        )
        try:
            answer = await standins.call(
                node.front, "POST", "/draft/1", headers, b"{}", 10.0
            )
        except (OSError, EOFError, TimeoutError) as error:
            record(f"client gets no answer to {attempt}: {error!r}")
            statuses["none"] += 1
            return
        seal = answer.headers.get("quetzalward-replica-seal")
        record(f"client gets {answer.status} for {attempt}, {seal}")
        statuses[answer.status] += 1

    begin_s = standins.now_s()
    left = list(second) if trouble else []
    next_add_s = begin_s + CALM_S
    while standins.now_s() < begin_s + RUN_S:
        if left and standins.now_s() >= next_add_s:
            made = left.pop(0)
            next_add_s += ADD_GAP_S
            await made.register()
            record(f"{made.id} is added to pool-next, empty")
        calls.append(asyncio.create_task(send(len(calls))))
        await asyncio.sleep(SEND_EVERY_S)
    await asyncio.gather(*calls)
    record(f"answers: {dict(statuses)}")
    if trouble and not await is_open(second, 1)():
        raise standins.CannotRun("the second service has no open groups")
    if statuses[200] < len(calls) / 2:
        raise standins.CannotRun(f"service is poor: {dict(statuses)}")
    ran = [attempt for made in second for attempt, *_ in made.runs]
    if ran:
        return [
            f"ROUTE {len(ran)} of {len(calls)} requests of the route to pool "
            f"ran at pool-next, to which no configuration lets them go: "
            f"{ran[:5]}"
        ]
    return []


standins.main(HERE, case)

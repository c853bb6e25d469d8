"""A streaming route is split over a model service and a plain one.

For some seconds, one replica of the plain service breaks off some of its
answers, which have neither a length nor chunks, inside an event.
"""

import asyncio
import collections
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))
import standins  # noqa: E402

KEY = "n2ctnfzs989anu6wsjnb"
EVENTS, INTERVAL_S = 6, 0.03
CALM_S, BREAK_FOR_S = 2.0, 5.0
# One of the 2 replicas of the plain service breaks off each 20th answer.
BREAK_EVERY = 20


def event(attempt, number):
    return f"id: {number}\ndata: {attempt}:{number}\n\n".encode()


async def case(record, trouble, folder, nodes):
    store = standins.Store()
    await store.start()
    split = [
        {"service": "pool", "weight": 50},
        {"service": "desk", "weight": 50},
    ]
    routes = [
        standins.route(
            "draft",
            "streaming",
            "",
            trafficSplit=split,
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
    begin, answers = [], collections.Counter()
    broken_off = []

    async def serve(replica, request, writer):
        """Answer without a length, as all replicas do in this case."""
        headers = {
            **replica.sealed(request),
            "Content-Type": "text/event-stream",
            "Connection": "close",
        }
        writer.write(standins.head_bytes(200, headers))
        first = int(request.headers.get("last-event-id", "0")) + 1
        at_s = standins.now_s() - begin[0] if begin else 0.0
        breaks = False
        if trouble and replica.id == "i-10":
            if CALM_S <= at_s < CALM_S + BREAK_FOR_S:
                answers[replica.id] += 1
                breaks = answers[replica.id] % BREAK_EVERY == 0
        for number in range(first, EVENTS + 1):
            data = event(request.attempt, number)
            if breaks and number == EVENTS // 2:
                writer.write(data[:-4])
                await writer.drain()
                broken_off.append(request.attempt)
                record(
                    f"{replica.id} breaks {request.attempt} off within "
                    f"event {number} of {EVENTS}"
                )
                return False
            writer.write(data)
            await writer.drain()
            await asyncio.sleep(0.01)
        return False

    pool = [
        standins.ModelReplica(store, record, f"i-{n}", serve) for n in range(4)
    ]
    desk = [standins.Replica(store, record, f"i-1{n}", serve) for n in (0, 1)]
    for replica in [*pool, *desk]:
        await replica.register()
    for n in range(2):
        node = standins.Node(f"front-{n}", folder, store.port)
        nodes.append(node)
        await node.start()

    async def are_open():
        groups = [replica.group for replica in pool if replica.group]
        return sum(group["state"] == "open" for group in groups) >= 3

    for node in nodes:
        await standins.wait_until(node.is_ready, f"readiness of {node.name}")
    await standins.wait_until(are_open, "three open groups")
    await asyncio.sleep(1.0)
    begin.append(standins.now_s())
    statuses, broken = collections.Counter(), []

    async def send(number):
        attempt, node = f"a{number:04d}", nodes[number % len(nodes)]
        record(f"client sends {attempt} to {node.name}")
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
        whole = "whole" if answer.complete else "broken off"
        statuses[f"{answer.status} {whole}"] += 1
        record(
            f"client gets {answer.status} for {attempt}, {whole}, "
            f"{answer.body.count(b'id: ')} events begun"
        )
        wanted = b"".join(event(attempt, n) for n in range(1, EVENTS + 1))
        if answer.status == 200 and answer.complete and answer.body != wanted:
            broken.append(
                f"ORDER the stream {attempt} ends as complete, with "
                f"{len(answer.body)} of {len(wanted)} bytes, inside an "
                f"event: {answer.body[-24:]!r}"
            )

    tasks = []
    while standins.now_s() < begin[0] + CALM_S + BREAK_FOR_S + 1.0:
        tasks.append(asyncio.create_task(send(len(tasks))))
        await asyncio.sleep(INTERVAL_S)
    await asyncio.gather(*tasks)
    record(f"answers: {dict(statuses)}; broken off: {broken_off}")
    if trouble and not broken_off:
        raise standins.CannotRun("no answer was broken off")
    if statuses["200 whole"] < len(tasks) / 2:
        raise standins.CannotRun(f"service is poor: {dict(statuses)}")
    return broken


standins.main(HERE, case)

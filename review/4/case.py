"""A replica answers with bytes that are no answer, without end."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))
import standins  # noqa: E402

KEY = "n2ctnfzs989anu6wsjnb"
STREAM_TIMEOUT_MS, STREAM_DEADLINE_MS = 5000, 8000
BOOK_TIMEOUT_MS, BOOK_DEADLINE_MS = 800, 1500
# A client leaves a stream after a gap of eight times the longest pause.
STREAM_GAP_S = 2.4
SLACK_S = 0.5
# The answers come in chunks of so many bytes, the sound ones too.
PIECE = 64
EVENTS = 10
CALM_S, TROUBLE_S = 3.0, 15.0
STREAM_EVERY_S, BOOK_EVERY_S = 0.25, 0.1
# What the faulty replica sends at most.
BYTES_PER_S = 1_000_000


def chunk(data):
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


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
            timeoutMs=STREAM_TIMEOUT_MS,
        ),
        standins.route(
            "book", "non_idempotent", "desk", timeoutMs=BOOK_TIMEOUT_MS
        ),
    ]
    document = standins.configuration(
        3, routes, [{"name": "hire", "apiKeys": [KEY]}], with_engine=True
    )
    store.put_json(standins.OP, "config", document)
    faulty = set()

    async def serve(replica, request, writer):
        headers = {
            **replica.sealed(request),
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        writer.write(standins.head_bytes(200, headers))
        if replica.id in faulty:
            record(f"{replica.id} sends bytes without end: {request.attempt}")
            part = chunk(b"x" * PIECE) * 100
            while True:
                writer.write(part)
                await writer.drain()
                await asyncio.sleep(100 * PIECE / BYTES_PER_S)
        first = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(first, EVENTS + 1):
            data = f"id: {number}\ndata: {request.attempt}:{number} "
            data = data.ljust(PIECE - 2, ".") + "\n\n"
            writer.write(chunk(data.encode()))
            await writer.drain()
            await asyncio.sleep(0.03)
        writer.write(b"0\r\n\r\n")
        return None

    pool = [
        standins.ModelReplica(store, record, f"i-{n}", serve) for n in range(4)
    ]
    desk = [standins.Replica(store, record, f"i-1{n}") for n in range(2)]
    for replica in [*pool, *desk]:
        await replica.register()
    for n in range(2):
        node = standins.Node(f"front-{n}", folder, store.port)
        nodes.append(node)
        await node.start()

    def serving():
        return [r.id for r in pool if r.group and r.group["state"] == "open"]

    async def are_open():
        return len(serving()) >= 3

    for node in nodes:
        await standins.wait_until(node.is_ready, f"readiness of {node.name}")
    await standins.wait_until(are_open, "three open groups")
    await asyncio.sleep(1.0)
    # Of each booking: when it was sent, and when it was answered for good;
    # `None` if it was not.
    requests = {}

    async def send(node, name, headers, attempt, wait_s):
        sent_s = standins.now_s()
        if name == "book":
            requests[attempt] = [sent_s, None]
        record(f"client sends {attempt} {name} to {node.name}")
        try:
            answer = await standins.call(
                node.front,
                "POST",
                f"/{name}/1",
                headers,
                b"{}",
                wait_s,
            )
        except TimeoutError:
            record(f"client gives {attempt} up after {wait_s} s")
            return
        except (OSError, EOFError) as error:
            record(f"client gets no answer to {attempt}: {error!r}")
            if attempt in requests:
                requests[attempt][1] = standins.now_s()
            return
        if attempt in requests:
            requests[attempt][1] = standins.now_s()
        record(
            f"client gets {answer.status} for {attempt} after "
            f"{standins.now_s() - sent_s:.2f} s, whole: {answer.complete}"
        )

    gaps = {}

    async def watch(node):
        """Note the longest time without an answer about readiness."""
        last_s = standins.now_s()
        while True:
            if await node.is_ready():
                last_s = standins.now_s()
            gap_s = standins.now_s() - last_s
            gaps[node.name] = max(gaps.get(node.name, 0.0), gap_s)
            await asyncio.sleep(0.1)

    tasks = [asyncio.create_task(watch(node)) for node in nodes]
    calls = []
    begin_s = standins.now_s()
    next_book_s = next_stream_s = begin_s
    number = 0
    while standins.now_s() < begin_s + CALM_S + TROUBLE_S:
        at_s = standins.now_s()
        if trouble and not faulty and at_s >= begin_s + CALM_S:
            faulty.add(serving()[0])
            record(f"groups are open at {serving()}; faulty: {faulty}")
        node = nodes[number % len(nodes)]
        if at_s >= next_book_s:
            next_book_s += BOOK_EVERY_S
            number += 1
            attempt = f"b{number:04d}"
            headers = standins.headers_of(attempt, KEY, BOOK_DEADLINE_MS)
            wait_s = BOOK_DEADLINE_MS / 1000
            call = send(node, "book", headers, attempt, wait_s)
            calls.append(asyncio.create_task(call))
        if at_s >= next_stream_s:
            next_stream_s += STREAM_EVERY_S
            number += 1
            attempt = f"s{number:04d}"
            headers = standins.stream_headers(
                attempt, KEY, STREAM_DEADLINE_MS, f"{number % 7:x}", EVENTS
            )
            node = nodes[(number // 2) % len(nodes)]
            call = send(node, "draft", headers, attempt, STREAM_GAP_S)
            calls.append(asyncio.create_task(call))
        await asyncio.sleep(0.01)
    await asyncio.gather(*calls)
    for task in tasks:
        task.cancel()
    record(f"longest time without a ready answer: {gaps}")
    unanswered, late = [], []
    for attempt, (sent_s, end_s) in requests.items():
        took_s = float("inf") if end_s is None else end_s - sent_s
        if took_s > BOOK_TIMEOUT_MS / 1000:
            unanswered.append(attempt)
            if took_s > BOOK_TIMEOUT_MS / 1000 + SLACK_S:
                late.append(attempt)
    record(f"unanswered at their route's timeoutMs: {unanswered}")
    record(f"of these unanswered {SLACK_S} s later: {late}")
    if len(requests) < 100:
        raise standins.CannotRun("too few requests were sent")
    if len(late) >= 8 and len(late) > len(unanswered) / 2:
        return [
            f"CONFIG of {len(unanswered)} bookings that were unanswered at "
            f"their route's timeoutMs, {len(late)} had no answer half a "
            f"second later; without a ready answer for up to "
            f"{max(gaps.values()):.1f} s"
        ]
    return []


standins.main(HERE, case)

"""The only customer loses its last key; requests with it must not run."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))
import standins  # noqa: E402

KEY, UNKNOWN = "n2ctnfzs989anu6wsjnb", "zzzzzzzzzzzzzzzzzzzz"
REVOKE_S = 5.0
TENANT = "hire"


async def case(record, trouble, folder, nodes):
    store = standins.Store()
    await store.start()
    routes = [
        standins.route("book", "non_idempotent", "desk"),
        standins.route("stock", "idempotent", "desk", maxAttempts=2),
    ]

    def publish(version, keys):
        tenants = [{"name": TENANT, "apiKeys": keys}]
        document = standins.configuration(version, routes, tenants)
        store.put_json(standins.OP, "config", document)
        record(f"version {version} acknowledged: {TENANT} has keys {keys}")
        return standins.now_s()

    publish(3, [KEY])
    replicas = [standins.Replica(store, record, f"i-{n}") for n in range(2)]
    for replica in replicas:
        await replica.register()
    for n in range(2):
        node = standins.Node(f"front-{n}", folder, store.port)
        nodes.append(node)
        await node.start()
    for node in nodes:
        await standins.wait_until(node.is_ready, f"readiness of {node.name}")
    sent = {}

    async def send(node, name, key):
        attempt = f"a{len(sent):04d}"
        sent[attempt] = (name, key, standins.now_s(), node.name)
        record(f"client sends {attempt} {name} key={key} to {node.name}")
        headers = standins.headers_of(attempt, key, 1500)
        try:
            answer = await standins.call(
                node.front, "POST", f"/{name}/1", headers, b"{}", 3.0
            )
        except (OSError, EOFError, TimeoutError) as error:
            record(f"client gets no answer to {attempt}: {error!r}")
            return None
        record(f"client gets {answer.status} for {attempt}")
        return answer.status

    for node in nodes:
        if await send(node, "book", KEY) != 200:
            raise standins.CannotRun("a valid key is not served")
        if await send(node, "book", UNKNOWN) != 401:
            raise standins.CannotRun("an unknown key gets no 401")
    # The operator takes the key away; without trouble another one is changed.
    revoked_s = publish(6, [] if trouble else [KEY, "m7qd0w1x2hkt5e9b8r3c"])
    await asyncio.sleep(REVOKE_S + 1.0)
    for _ in range(5):
        for node in nodes:
            await send(node, "book", KEY)
            await send(node, "stock", KEY)
            await send(node, "book", UNKNOWN)
        await asyncio.sleep(0.2)
    broken = []
    for replica in replicas:
        for attempt, tenant, _ in replica.runs:
            name, key, at_s, node = sent[attempt]
            text = f"{attempt} ({name}, key {key}, from {node})"
            if key == UNKNOWN:
                broken.append(f"ROUTE {text} runs; no configuration held it")
            elif trouble and at_s > revoked_s + REVOKE_S:
                broken.append(
                    f"CONFIG {text} runs, sent {at_s - revoked_s:.1f} s after "
                    f"its key was taken away, tenant={tenant}"
                )
    return broken


standins.main(HERE, case)

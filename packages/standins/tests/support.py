"""In-process engines with small numbers, and calls to them."""

import json
import time
import typing
import unittest

import urllib3

from quetzalward_standins import _fleet
from quetzalward_standins import _processes
from quetzalward_standins import _target
from quetzalward_standins import answers

# Only bounds a wait for something that must come; no test measures it.
WAIT_S = 30.0


def wait_for(condition: typing.Callable[[], bool], what: str) -> None:
    """Poll until a condition holds, or fail."""
    deadline = time.monotonic() + WAIT_S
    while not condition():
        if time.monotonic() > deadline:
            raise AssertionError(f"{what} did not come")
        time.sleep(0.01)


def draft(question: str, tokens: int, **more: typing.Any) -> answers.Body:
    """Return the body of a chat request."""
    message = {"role": "user", "content": question}
    return {
        "model": "draft",
        "messages": [message],
        "max_tokens": tokens,
        **more,
    }


def stream_text(data: bytes) -> str:
    """Return the text of a whole SSE answer in the chat format."""
    events = data.decode().split("\n\n")
    if events[-2:] != ["data: [DONE]", ""]:
        raise AssertionError(f"no [DONE] at the end of {data[-80:]!r}")
    documents = [json.loads(e.removeprefix("data: ")) for e in events[:-2]]
    choices = [choice for d in documents for choice in d["choices"]]
    return "".join(c["delta"].get("content", "") for c in choices)


class EngineCase(unittest.TestCase):
    """Runs four hosts of one fabric domain and the platform's services."""

    engines = _target.EngineSettings(
        token_ms=1.0,
        token_ms_per_running=0.0,
        prefill_block_ms=0.0,
        warm_after_ms=0,
        report_every_ms=10,
        report_lag_ms=0,
        hosts_lag_ms=0,
    )
    hosts = 4

    def setUp(self) -> None:
        self.platform = _processes.Platform(_processes.PlatformSpec())
        self.addCleanup(self.platform.stop)
        specs = [
            _fleet.HostSpec(f"host-{n}", "zone-a", f"domain-{n // 2}")
            for n in range(self.hosts)
        ]
        self.side = _processes.EngineSide(
            _processes.EnginesSpec(
                specs, self.platform.urls["weights"], self.engines
            )
        )
        self.addCleanup(self.side.stop)
        self.pool = urllib3.PoolManager(num_pools=8, maxsize=400)
        self.orders = 0

    def url(self, number: int) -> str:
        return f"{self.side.urls['engines']}/h/host-{number}"

    def post(
        self, number: int, path: str, body: typing.Any, **more: typing.Any
    ) -> urllib3.BaseHTTPResponse:
        url = self.url(number) + path
        return self.pool.request(
            "POST", url, json=body, retries=False, timeout=WAIT_S, **more
        )

    def report(self, number: int) -> typing.Any:
        return self.pool.request("GET", self.url(number) + "/report").json()

    def fault(self, **fault: typing.Any) -> None:
        self.side.engines.apply_fault(fault)

    def order(
        self, number: int, kind: str, fencing: int, **more: typing.Any
    ) -> urllib3.BaseHTTPResponse:
        self.orders += 1
        order = {"order_id": f"order-{self.orders}", **more}
        order |= {"kind": kind, "fencing": fencing}
        return self.post(number, "/orders", order)

    def assign(
        self, group: str, numbers: list[int], fencing: int = 1
    ) -> urllib3.BaseHTTPResponse:
        incarnations = {
            name: host.incarnation
            for name, host in self.side.fleet.hosts.items()
        }
        hosts = [
            {"host": f"host-{n}", "incarnation": incarnations[f"host-{n}"]}
            for n in numbers
        ]
        return self.order(
            numbers[0],
            "assign",
            fencing,
            group=group,
            epoch=fencing,
            hosts=hosts,
            model="draft",
        )

    def serve(self, group: str, numbers: list[int], fencing: int = 1) -> None:
        """Form a group and wait until it serves."""
        self.assertEqual(200, self.assign(group, numbers, fencing).status)
        loaded = self.order(numbers[0], "load", fencing, group=group)
        self.assertEqual(202, loaded.status, loaded.data)
        target = self.side.fleet.groups[group].target
        wait_for(lambda: target.state in ("cold", "warm"), "end of load")

    def chat(
        self, number: int, body: answers.Body, **more: typing.Any
    ) -> urllib3.BaseHTTPResponse:
        return self.post(number, "/v1/chat/completions", body, **more)

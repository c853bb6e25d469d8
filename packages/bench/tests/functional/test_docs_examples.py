"""Tests that the examples of README.md and of the operators' pages work."""

import contextlib
import io
import json
import os
import pathlib
import re
import tempfile
import textwrap
import time
import typing
import unittest
import unittest.mock

import urllib3

from quetzalward_cli import cli
from quetzalward_standins import answers
from quetzalward_standins import cluster

ROOT = pathlib.Path(__file__).resolve().parents[4]
README = (ROOT / "README.md").read_text()
START_TIMEOUT_S = 60.0
_COMMAND = re.compile(
    r"quetzalward (?:--\S+ )?"
    r"(status|trace|(?:node|group|zone|target|config) [a-z-]+)"
)
COMMANDS = {
    "config check",
    "config diff",
    "config explain",
    "config history",
    "config publish",
    "config show",
    "group explain",
    "group list",
    "node drain",
    "node list",
    "status",
    "target drain",
    "target list",
    "target undrain",
    "trace",
    "zone bring-back",
    "zone list",
    "zone take-out",
}


class Printed(typing.NamedTuple):
    """What a command gave."""

    status: int
    out: str
    err: str


def blocks(text: str) -> list[str]:
    """Return the indented blocks of a page."""
    found = re.findall(r"(?m)(?:^    .*\n(?:\n(?=    ))?)+", text)
    return [textwrap.dedent(block) for block in found]


def block_with(*words: str) -> str:
    """Return the only block of README.md that holds all the words."""
    matching = [b for b in blocks(README) if all(w in b for w in words)]
    if len(matching) != 1:
        raise AssertionError(f"{len(matching)} blocks hold {words}")
    return matching[0]


def curl_parts(command: str) -> tuple[str, dict[str, str], typing.Any]:
    """Return path, headers and JSON body of a curl command."""
    path = re.findall(r'"\$URL([^"]*)"', command)[0]
    headers = dict(
        h.split(": ", 1) for h in re.findall(r'-H "(.*?)"', command)
    )
    body = re.findall(r"-d '(.*?)'", command, re.DOTALL)[0]
    return path, headers, json.loads(body)


class ExamplesTest(unittest.TestCase):
    """Guards against examples that a reader cannot repeat."""

    cluster: typing.ClassVar[cluster.Cluster]

    @classmethod
    def setUpClass(cls) -> None:
        cls.cluster = cluster.Cluster(cluster.ClusterSpec(nodes=3, replicas=3))
        cls.cluster.start()
        cls.addClassCleanup(cls.cluster.stop)
        folder = tempfile.TemporaryDirectory()
        cls.addClassCleanup(folder.cleanup)
        cls.folder = pathlib.Path(folder.name)
        (cls.folder / "token").write_text(cls.cluster.operator_token)
        cls.config = cls.folder / "config"
        cls.config.mkdir()
        document = cls.cluster.configuration()
        (cls.config / "10-base.json").write_text(json.dumps(document))
        cls._wait_until_warm()

    @classmethod
    def _wait_until_warm(cls) -> None:
        """Send drafts until one is answered; cold targets may refuse."""
        deadline = time.monotonic() + START_TIMEOUT_S
        body = {"model": cls.cluster.model, "prompt": "x", "max_tokens": 1}
        while time.monotonic() < deadline:
            answer = cls._post("/v1/completions", {}, body)
            if answer.status == 200:
                return
            time.sleep(float(answer.headers.get("Retry-After", "1")))
        raise AssertionError("no draft was answered")

    @classmethod
    def _post(
        cls, path: str, headers: dict[str, str], body: typing.Any
    ) -> urllib3.BaseHTTPResponse:
        sent = {"Authorization": f"Bearer {cls.cluster.api_key}", **headers}
        return cls.cluster.pool.request(
            "POST", cls.cluster.nodes[0].url + path, headers=sent, json=body
        )

    def _curl(self, command: str) -> urllib3.BaseHTTPResponse:
        path, headers, body = curl_parts(command)
        key = self.cluster.api_key
        filled = {k: v.replace("$API_KEY", key) for k, v in headers.items()}
        return self._post(path, filled, body)

    def run_command(self, *arguments: str) -> Printed:
        """Run `quetzalward` as an operator with the two variables does."""
        nodes = ",".join(node.operators_url for node in self.cluster.nodes)
        variables = {
            "QUETZALWARD_NODES": nodes,
            "QUETZALWARD_TOKEN_FILE": str(self.folder / "token"),
        }
        out, err = io.StringIO(), io.StringIO()
        status = 0
        with (
            unittest.mock.patch.dict(os.environ, variables),
            contextlib.redirect_stdout(out),
            contextlib.redirect_stderr(err),
        ):
            try:
                cli.main(list(arguments))
            except SystemExit as stop:
                status = int(stop.code or 0)
        return Printed(status, out.getvalue(), err.getvalue())

    def check(self, *arguments: str, headings: str = "") -> typing.Any:
        """Run a command as table and as JSON; return the decoded JSON."""
        table = self.run_command(*arguments)
        self.assertEqual(table.status, 0, table)
        self.assertTrue(table.out.strip())
        if headings:
            columns = [line.split() for line in table.out.splitlines()]
            self.assertIn(headings.split(), columns)
        else:
            self.assertNotIn("{", table.out)
        plain = self.run_command("--json", *arguments)
        self.assertEqual(plain.status, 0, plain)
        return json.loads(plain.out)

    def test_curl_draft(self) -> None:
        answer = self._curl(block_with("curl -N", "chat/completions"))
        self.assertEqual(answer.status, 200, answer.data)
        data = [
            line.removeprefix("data: ")
            for line in answer.data.decode().splitlines()
            if line.startswith("data: ")
        ]
        self.assertEqual(data.pop(), "[DONE]")
        deltas = [json.loads(d)["choices"][0]["delta"] for d in data]
        text = "".join(delta.get("content") or "" for delta in deltas)
        self.assertEqual(
            text, answers.expected({"prompt": "Three panels"}, 0, 8)
        )

    def test_curl_booking_runs_once(self) -> None:
        command = block_with("curl", "Idempotency-Key")
        first = self._curl(command)
        self.assertEqual(first.status, 201, first.data)
        # Until the answer is on the log, a repeat is told to come again.
        second = self._curl(command)
        deadline = time.monotonic() + START_TIMEOUT_S
        while second.status == 409 and time.monotonic() < deadline:
            self.assertEqual(second.json()["kind"], "call_in_progress")
            time.sleep(float(second.headers["Retry-After"]))
            second = self._curl(command)
        self.assertEqual((second.status, second.data), (201, first.data))
        key = curl_parts(command)[1]["Idempotency-Key"]
        self.assertEqual(self.cluster.read("service", "/executions")[key], 1)

    def test_openai_client(self) -> None:
        url, key = self.cluster.nodes[0].url, self.cluster.api_key
        out = io.StringIO()
        with contextlib.redirect_stdout(out):
            exec(
                block_with("import openai"),
                {"url": url, "api_key": key},
            )
        expected = answers.expected({"prompt": "Three panels"}, 0, 8)
        self.assertEqual(out.getvalue().rstrip("\n"), expected)

    def test_first_configuration(self) -> None:
        folder = self.folder / "first"
        folder.mkdir()
        base = block_with('"zones"', '"hosts_per_replica"')
        base = re.sub(r"<SHA-256 of the API key in hex>", "a" * 64, base)
        base = re.sub(r"<SHA-256 of the token in hex>", "b" * 64, base)
        (folder / "10-base.json").write_text(base)
        override = block_with('{"models": {"draft": {"replicas": 6}}}')
        (folder / "50-more-replicas.json").write_text(override)
        checked = self.check("config", "check", str(folder))
        self.assertTrue(checked["valid"])
        rows = self.check(
            "config",
            "explain",
            str(folder),
            "models.draft",
            headings="path value file",
        )
        files = {row["path"]: row["file"] for row in rows}
        self.assertEqual(
            files,
            {
                "models.draft.hosts_per_replica": "10-base.json",
                "models.draft.replicas": "50-more-replicas.json",
            },
        )

    def test_looking(self) -> None:
        self.check("status", headings="item value")
        nodes = self.check(
            "node",
            "list",
            headings="name zone region state config_revision heard_age_ms"
            " operators_url",
        )
        self.assertEqual(len(nodes["nodes"]), 3)
        groups = self.check(
            "group", "list", headings="group model zone domain state hosts"
        )
        name = groups["groups"][0]["group"]
        group = self.check("group", "explain", name, headings="item value")
        self.assertEqual(group["group"], name)
        self.check(
            "target",
            "list",
            headings="target url engine_state running waiting report_age_ms"
            " in_subset",
        )
        self.assertEqual(self.run_command("group", "explain", "x").status, 1)

    def test_zone_out_and_back(self) -> None:
        def state() -> str:
            value = self.check("zone", "list", headings="zone region state")
            states = {row["zone"]: row["state"] for row in value["zones"]}
            return str(states["zone-c"])

        self.assertEqual(state(), "in")
        taken = self.run_command("zone", "take-out", "zone-c")
        self.assertEqual(
            taken, (0, "zone-c is out; confirmed by 3 nodes\n", "")
        )
        self.assertEqual(state(), "out")
        again = self.run_command("--json", "zone", "take-out", "zone-c")
        self.assertEqual(len(json.loads(again.out)["confirmed"]), 3)
        back = self.run_command("zone", "bring-back", "zone-c")
        self.assertEqual(back, (0, "zone-c is in\n", ""))
        self.assertEqual(state(), "in")
        refused = self.run_command("zone", "take-out", "zone-x")
        self.assertEqual(refused.status, 1, refused)

    def test_target_drain_and_undrain(self) -> None:
        value = self.check("target", "list", headings="")
        name = value["targets"][0]["target"]
        drained = self.run_command("target", "drain", name)
        self.assertEqual(
            drained, (0, f"{name} drains; confirmed by 3 nodes\n", "")
        )
        group = self.check("group", "explain", name)
        self.assertTrue(group["draining"])
        ended = self.run_command("target", "undrain", name)
        self.assertEqual(ended, (0, f"{name} takes new work again\n", ""))

    def test_publishing(self) -> None:
        folder = str(self.config)
        override = self.config / "50-override.json"
        override.write_text('{"limits": {"max_queue_ms": 4000}}')
        self.addCleanup(override.unlink)
        diff = self.run_command("config", "diff", folder)
        self.assertEqual(diff, (0, "+ limits.max_queue_ms = 4000\n", ""))
        changes = json.loads(
            self.run_command("--json", "config", "diff", folder).out
        )
        self.assertEqual(changes[0]["after"], 4000)
        old = self.run_command("--json", "config", "show")
        base = json.loads(old.out)["revision"]
        published = self.run_command("config", "publish", folder)
        self.assertRegex(
            published.out,
            r"^revision \d+ is in force on node-1, node-2, node-3\n$",
        )
        self.assertEqual(published.status, 0)
        conflict = self.run_command(
            "config", "publish", folder, "--base", str(base)
        )
        self.assertEqual(conflict.status, 3, conflict)
        shown = self.run_command("config", "show")
        self.assertRegex(shown.out, r"(?m)^limits\.max_queue_ms +4000$")
        history = self.check(
            "config",
            "history",
            headings="revision operator time_ms publication_id",
        )
        self.assertEqual(len(history["revisions"]), 2)

    def test_invalid_configuration_and_access(self) -> None:
        folder = self.folder / "bad"
        folder.mkdir()
        (folder / "60-bad.json").write_text('{"limits": {"max_queue": 1}}')
        bad = self.run_command("config", "check", str(folder))
        self.assertEqual(bad.status, 2)
        self.assertIn(
            "60-bad.json: limits.max_queue: unknown key 'max_queue'", bad.err
        )
        missing = self.run_command("status", "--token-file", "/nowhere")
        self.assertEqual(missing.status, 2)
        wrong = self.folder / "wrong"
        wrong.write_text("wrong")
        denied = self.run_command("status", "--token-file", str(wrong))
        self.assertEqual(denied.status, 5)

    def test_trace(self) -> None:
        body = {"model": self.cluster.model, "prompt": "x", "max_tokens": 1}
        answer = self._post("/v1/completions", {}, body)
        name = answer.headers["X-Request-Id"]
        spans = self.check(
            "trace", name, headings="name start_ms duration_ms attributes"
        )
        self.assertIn("entry", [span["name"] for span in spans])

    def test_every_exported_metric_is_on_the_page(self) -> None:
        url = f"{self.cluster.nodes[0].operators_url}/metrics"
        text = self.cluster.pool.request("GET", url).data.decode()
        exported = re.findall(r"(?m)^# TYPE (\S+) (\S+)$", text)
        page = (ROOT / "docs" / "operations" / "alerts.md").read_text()
        described = re.findall(r"(?m)^\| `(quetzalward_\w+)` \| (\w+)", page)
        self.assertEqual(sorted(described), sorted(exported))

    def test_every_command_on_a_page_was_run(self) -> None:
        pages = sorted((ROOT / "docs" / "operations").glob("*.md"))
        text = README + "".join(page.read_text() for page in pages)
        self.assertEqual(set(_COMMAND.findall(text)), COMMANDS)


class NodeDrainTest(unittest.TestCase):
    """Guards the steps of docs/operations/rolling-replacement.md."""

    def test_drained_node_ends_and_leaves_the_list(self) -> None:
        running = cluster.Cluster(cluster.ClusterSpec(nodes=3, replicas=3))
        running.start()
        self.addCleanup(running.stop)
        urls = ",".join(node.operators_url for node in running.nodes[:2])
        with tempfile.NamedTemporaryFile("w", suffix="token") as token:
            token.write(running.operator_token)
            token.flush()
            options = [f"--node={urls}", f"--token_file={token.name}"]
            out = io.StringIO()
            with contextlib.redirect_stdout(out):
                cli.main([*options, "node", "drain", "node-3"])
            self.assertIn("node-3 takes no new work", out.getvalue())
            process = running.nodes[2].process
            assert process is not None
            self.assertEqual(process.wait(START_TIMEOUT_S), 0)
            out = io.StringIO()
            with contextlib.redirect_stdout(out):
                cli.main([*options, "--json", "node", "list"])
        names = [node["name"] for node in json.loads(out.getvalue())["nodes"]]
        self.assertEqual(names, ["node-1", "node-2"])

"""Tests of the operators' commands against a fake node."""

import contextlib
import io
import json
import pathlib
import tempfile
import typing
import unittest

import fake_node
from quetzalward_cli import cli
from quetzalward_core import testing


class CommandTestCase(unittest.TestCase):
    """Runs the program's entry point and captures what it prints."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.token_file = self.folder / "token"
        self.token_file.write_text("t0ken\n")
        self.config_folder = self.folder / "config"
        self.config_folder.mkdir()
        self.write_config("10-base.json", testing.config_document())

    def write_config(self, name: str, document: typing.Any) -> None:
        (self.config_folder / name).write_text(json.dumps(document))

    def start_node(self, handler: fake_node.Handler) -> fake_node.FakeNode:
        node = fake_node.FakeNode(handler)
        self.addCleanup(node.close)
        return node

    def run_command(
        self, *arguments: str, node: str | None = None
    ) -> tuple[int, str, str]:
        options = []
        if node:
            options = [f"--node={node}", f"--token_file={self.token_file}"]
        out, err = io.StringIO(), io.StringIO()
        status = 0
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            try:
                cli.main([*options, *arguments])
            except SystemExit as stop:
                status = int(stop.code or 0)
        return status, out.getvalue(), err.getvalue()


class FolderCommandsTest(CommandTestCase):
    """Commands that need no node."""

    def test_check_accepts_a_valid_folder(self) -> None:
        status, out, _ = self.run_command(
            "config", "check", str(self.config_folder)
        )
        self.assertEqual(status, 0)
        self.assertIn("valid", out)

    def test_check_names_file_path_and_cause(self) -> None:
        self.write_config("20.json", {"models": {"draft": {"replicas": "x"}}})
        status, _, err = self.run_command(
            "config", "check", str(self.config_folder)
        )
        self.assertEqual(status, 2)
        self.assertIn("20.json: models.draft.replicas: expected", err)

    def test_explain_names_the_overriding_file(self) -> None:
        self.write_config("20.json", {"models": {"draft": {"replicas": 7}}})
        status, out, _ = self.run_command(
            "--json",
            "config",
            "explain",
            str(self.config_folder),
            "models.draft.replicas",
        )
        self.assertEqual(status, 0)
        (entry,) = json.loads(out)
        self.assertEqual((entry["value"], entry["file"]), (7, "20.json"))

    def test_missing_node_and_token_file_are_reported(self) -> None:
        status, _, err = self.run_command("zone", "list")
        self.assertEqual(status, 2)
        self.assertIn("--token-file", err)


class PublishTest(CommandTestCase):
    """The outcome of a publication under conflicts and lost responses."""

    def _publish(self, node: fake_node.FakeNode) -> tuple[int, str, str]:
        return self.run_command(
            "config",
            "publish",
            str(self.config_folder),
            "--timeout_s=0",
            node=node.url,
        )

    @staticmethod
    def _nodes(revision: int) -> fake_node.Response:
        node = {
            "name": "n1",
            "state": "joined",
            "config_revision": revision,
            "operators_url": "http://127.0.0.1:1",
        }
        return 200, {"nodes": [node]}

    def test_accepted_and_in_force(self) -> None:
        def handler(
            method: str, path: str, body: typing.Any
        ) -> fake_node.Response:
            if path.endswith("/nodes"):
                return self._nodes(9)
            if method == "POST":
                return 200, {"revision": 9}
            return 200, {"revision": 5, "document": {}}

        node = self.start_node(handler)
        status, out, err = self._publish(node)
        self.assertEqual((status, err), (0, ""))
        self.assertIn("revision 9 is in force on n1", out)
        posted = next(r for r in node.requests if r[0] == "POST")
        self.assertEqual(posted[2]["base_revision"], 5)
        self.assertEqual(posted[3], "Bearer t0ken")

    def test_not_in_force_names_the_node(self) -> None:
        def handler(
            method: str, path: str, body: typing.Any
        ) -> fake_node.Response:
            if path.endswith("/nodes"):
                return self._nodes(5)
            if method == "POST":
                return 200, {"revision": 9}
            return 200, {"revision": 5, "document": {}}

        status, _, err = self._publish(self.start_node(handler))
        self.assertEqual(status, 4)
        self.assertIn("not yet in force on n1", err)

    def test_bootstrap_token_invalidated_by_the_revision_is_no_rejection(
        self,
    ) -> None:
        # Guards against reporting "not allowed" for an accepted configuration:
        # a revision that declares operators invalidates the bootstrap token,
        # so that listing the nodes fails with status 401.
        def handler(
            method: str, path: str, body: typing.Any
        ) -> fake_node.Response:
            if path.endswith("/nodes"):
                return 401, {"kind": "unauthenticated", "detail": "unknown"}
            if method == "POST":
                return 200, {"revision": 9}
            return 200, {"revision": 0, "document": {}}

        status, _, err = self._publish(self.start_node(handler))
        self.assertEqual(status, 4)
        self.assertIn("revision 9 is accepted", err)

    def test_conflict_shows_the_difference(self) -> None:
        def handler(
            method: str, path: str, body: typing.Any
        ) -> fake_node.Response:
            if method == "POST":
                return 409, {"kind": "config_conflict", "detail": "raced"}
            document = testing.config_document(limits={"max_streams": 9})
            return 200, {"revision": 6, "document": document}

        status, _, err = self._publish(self.start_node(handler))
        self.assertEqual(status, 3)
        self.assertIn("- limits.max_streams = 9", err)

    def test_lost_response_is_resolved_from_the_history(self) -> None:
        published: list[str] = []

        def handler(
            method: str, path: str, body: typing.Any
        ) -> fake_node.Response | None:
            if method == "POST":
                published.append(body["publication_id"])
                return None
            if path.endswith("/history"):
                entry = {"revision": 7, "publication_id": published[0]}
                return 200, {"revisions": [entry]}
            if path.endswith("/nodes"):
                return self._nodes(7)
            return 200, {"revision": 5, "document": {}}

        status, out, err = self._publish(self.start_node(handler))
        self.assertEqual((status, err), (0, ""))
        self.assertIn("revision 7", out)

    def test_lost_response_without_history_entry_is_unknown(self) -> None:
        def handler(
            method: str, path: str, body: typing.Any
        ) -> fake_node.Response | None:
            if method == "POST":
                return None
            if path.endswith("/history"):
                return 200, {"revisions": []}
            return 200, {"revision": 5, "document": {}}

        status, _, err = self._publish(self.start_node(handler))
        self.assertEqual(status, 4)
        self.assertIn("answer was lost", err)


class StopOrderTest(CommandTestCase):
    """Stop orders report every node that did not confirm."""

    def test_take_out_reaches_every_node(self) -> None:
        nodes: list[dict[str, str]] = []

        def handler(
            method: str, path: str, body: typing.Any
        ) -> fake_node.Response:
            if path.endswith("/nodes"):
                return 200, {"nodes": nodes}
            return 200, {}

        fakes = [self.start_node(handler) for _ in range(3)]
        for fake in fakes:
            nodes.append({"state": "joined", "operators_url": fake.url})
        status, out, _ = self.run_command(
            "zone", "take-out", "zone-a", node=fakes[0].url
        )
        self.assertEqual(status, 0)
        self.assertIn("confirmed by 3 nodes", out)
        for fake in fakes:
            posts = [r[1:3] for r in fake.requests if r[0] == "POST"]
            self.assertEqual(
                posts, [("/operators/v1/zones/zone-a", {"state": "out"})]
            )

    def test_unreachable_node_is_named(self) -> None:
        stopped = fake_node.FakeNode(lambda *args: (200, {}))
        stopped.close()

        def handler(
            method: str, path: str, body: typing.Any
        ) -> fake_node.Response:
            if path.endswith("/nodes"):
                nodes = [
                    {"state": "joined", "operators_url": url}
                    for url in (fake.url, stopped.url)
                ]
                return 200, {"nodes": nodes}
            return 200, {}

        fake = self.start_node(handler)
        status, _, err = self.run_command(
            "zone", "take-out", "zone-a", node=fake.url
        )
        self.assertEqual(status, 4)
        self.assertIn(stopped.url, err)

    def test_rejection_by_every_node_is_no_unknown_outcome(self) -> None:
        problem = {"kind": "not_found", "detail": "zone 'x' is not declared"}
        node = self.start_node(lambda *args: (404, problem))
        status, _, err = self.run_command(
            "zone", "take-out", "x", node=node.url
        )
        self.assertEqual(status, 1)
        self.assertIn("error: not_found: zone 'x' is not declared", err)

    def test_lost_response_is_reported_without_a_traceback(self) -> None:
        node = self.start_node(lambda *args: None)
        status, _, err = self.run_command(
            "zone", "bring-back", "zone-a", node=node.url
        )
        self.assertEqual(status, 4)
        self.assertIn("error: outcome_unknown: ", err)
        self.assertIn("repeat the command", err)

    def test_rejected_token_has_its_own_exit_code(self) -> None:
        problem = {"kind": "unauthenticated", "detail": "unknown token"}
        node = self.start_node(lambda *args: (401, problem))
        status, _, err = self.run_command("status", node=node.url)
        self.assertEqual(status, 5)
        self.assertIn("unknown token", err)

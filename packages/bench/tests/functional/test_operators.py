"""Configuration published by command, and restarts of every node."""

import json
import pathlib
import subprocess
import sys
import tempfile

from functional import support

from quetzalward_core import agreement
from quetzalward_standins import _log
from quetzalward_standins import cluster

# Stated bound for a configuration to be in force everywhere.
IN_FORCE_S = 15.0
CONFLICT = 3


class ConfigurationTest(support.ClusterCase):
    """Guards R10 against lost, doubled and reverted configurations."""

    spec = support.small(
        replicas=3,
        # The snapshot test fills the log with records.
        log=_log.LogSettings(appends_per_s=10_000, burst=10_000),
    )

    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = pathlib.Path(directory.name)
        self.token_file = self.directory / "token"
        self.token_file.write_text(self.running.operator_token)
        for node in self.running.nodes:
            if not node.running:
                self.restart(node)

    def folder(self, name: str, max_streams: int) -> str:
        """Write a configuration folder that differs in one value."""
        folder = self.directory / name
        folder.mkdir()
        document = self.running.configuration()
        document["limits"] = {"max_streams": max_streams}
        for key, value in document.items():
            (folder / f"{key}.json").write_text(json.dumps({key: value}))
        return str(folder)

    def command(
        self, node: cluster.Node, *arguments: str
    ) -> subprocess.Popen[str]:
        """Start the command line against one node."""
        return subprocess.Popen(
            [
                sys.executable,
                "-m",
                "quetzalward_cli",
                "--node",
                node.operators_url,
                "--token-file",
                str(self.token_file),
                *arguments,
            ],
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )

    def publish(
        self, node: cluster.Node, folder: str, base: int
    ) -> tuple[int, str]:
        """Publish a folder; return exit status and output."""
        process = self.command(
            node, "config", "publish", folder, "--base", str(base)
        )
        output, _ = process.communicate()
        return process.returncode, output

    def in_force(self, node: cluster.Node) -> tuple[int, int]:
        """Return revision and value that a node has in force."""
        shown = self.get(node, "/config")
        limits = shown["document"].get("limits", {})
        return shown["revision"], limits.get("max_streams", 0)

    def check_everywhere(self, wanted: tuple[int, int]) -> None:
        for node in self.running.nodes:
            self.assertEqual(wanted, self.in_force(node), node.name)

    def test_one_of_two_operators_wins(self) -> None:
        """R10: two changes on one base are both accepted, or neither."""
        base, _ = self.in_force(self.running.nodes[0])
        processes = [
            self.command(
                node,
                "config",
                "publish",
                self.folder(f"operator-{number}", 200 + number),
                "--base",
                str(base),
            )
            for number, node in enumerate(self.running.nodes[:3])
        ]
        outputs = [process.communicate()[0] for process in processes]
        codes = [process.returncode for process in processes]
        self.assertEqual([0, CONFLICT, CONFLICT], sorted(codes), outputs)
        winner = codes.index(0)
        revision, value = self.in_force(self.running.nodes[0])
        self.assertEqual(200 + winner, value)
        self.assertGreater(revision, base)
        # The command ends with 0 only after all nodes have it in force.
        self.check_everywhere((revision, value))
        for code, output in zip(codes, outputs, strict=True):
            if code == CONFLICT:
                self.assertIn(str(revision), output)

    def publish_next(self, value: int) -> tuple[int, int]:
        base, _ = self.in_force(self.running.nodes[0])
        folder = self.folder(f"next-{value}", value)
        code, output = self.publish(self.running.nodes[1], folder, base)
        self.assertEqual(0, code, output)
        wanted = self.in_force(self.running.nodes[0])
        self.assertEqual(value, wanted[1])
        self.check_everywhere(wanted)
        return wanted

    def test_lost_append_answer_publishes_once(self) -> None:
        """R10: a publication whose answer is lost counts as a conflict."""
        base, _ = self.in_force(self.running.nodes[0])
        self.running.inject("log", lose_appends=2)
        folder = self.folder("lost", 300)
        code, output = self.publish(self.running.nodes[2], folder, base)
        self.assertEqual(0, code, output)
        self.check_everywhere((self.in_force(self.running.nodes[0])[0], 300))

    def test_node_after_node_is_killed(self) -> None:
        """R10: a restarted node has an older revision in force."""
        wanted = self.publish_next(400)
        for node in self.running.nodes:
            self.kill(node)
            self.restart(node)
            self.assertEqual(wanted, self.in_force(node), node.name)
        self.check_everywhere(wanted)

    def test_all_nodes_are_killed_at_once(self) -> None:
        """R10: the state is lost with the last node."""
        wanted = self.publish_next(500)
        self.replace_all_nodes()
        self.check_everywhere(wanted)
        self.wait_until_serving(1)

    def replace_all_nodes(self) -> None:
        for node in self.running.nodes:
            self.kill(node)
        for node in self.running.nodes:
            self.running.start_node(node)
        for node in self.running.nodes:
            self.running.wait_ready(node)

    def test_state_comes_back_from_a_snapshot(self) -> None:
        """R10: state is lost with the records that expire."""
        # With no group formed yet, there would be nothing to lose.
        self.wait_until_serving(3)
        wanted = self.publish_next(600)
        self.fill_control_stream()
        through = support.wait_for(self.snapshot_offset, "a snapshot")
        self.assertGreater(through, 0)
        history = self.records(agreement.CONTROL_STREAM)
        url = f"{self.running.standins['log']}/truncate"
        body = {"stream": agreement.CONTROL_STREAM, "before": through + 1}
        answer = self.pool.request("POST", url, json=body)
        self.assertEqual(200, answer.status)
        self.replace_all_nodes()
        self.check_everywhere(wanted)
        for node in self.running.nodes:
            self.check_groups(node, history)
        # Nothing else may follow from an older base.
        folder = self.folder("old", 700)
        code, output = self.publish(
            self.running.nodes[0], folder, wanted[0] - 1
        )
        self.assertEqual(CONFLICT, code, output)

    def check_groups(
        self, node: cluster.Node, history: list[support.Json]
    ) -> None:
        """Check that a node has the groups of the whole history.

        The nodes go on to form and dissolve groups, so what they appended
        since is folded on top of what was truncated.
        """
        found: dict[str, list[str]] = {}
        wanted: dict[str, list[str]] = {}

        def agree() -> bool:
            nonlocal found, wanted
            rest = self.records(
                agreement.CONTROL_STREAM, history[-1]["offset"] + 1
            )
            groups = support.fold([*history, *rest]).groups_by_id
            wanted = {
                name: sorted(member.host for member in group.hosts)
                for name, group in groups.items()
            }
            shown = self.get(node, "/groups") or {"groups": []}
            found = {
                row["group"]: sorted(row["hosts"]) for row in shown["groups"]
            }
            return bool(wanted) and found == wanted

        try:
            support.wait_for(agree, f"the groups at {node.name}")
        except AssertionError as error:
            raise AssertionError(f"{error}: {found} != {wanted}") from error

    def fill_control_stream(self) -> None:
        """Append void records until a snapshot is due."""
        url = (
            f"{self.running.standins['log']}/v1/streams"
            f"/{agreement.CONTROL_STREAM}/records"
        )
        for number in range(agreement.SNAPSHOT_INTERVAL_RECORDS + 1):
            body = {"id": f"filler-{number}", "data": "{}"}
            answer = self.pool.request("POST", url, json=body)
            self.assertEqual(200, answer.status)

    def snapshot_offset(self) -> int:
        """Return what the last whole snapshot covers, or 0."""
        parts: dict[str, set[int]] = {}
        covered = 0
        for record in self.records(agreement.CONTROL_STREAM):
            if "snapshot_part" not in record["data"]:
                continue
            for entry in agreement.decode_batch(record["data"]).entries:
                if isinstance(entry, agreement.SnapshotPart):
                    known = parts.setdefault(entry.snapshot_id, set())
                    known.add(entry.part)
                    if len(known) == entry.parts:
                        covered = entry.through_offset
        return covered

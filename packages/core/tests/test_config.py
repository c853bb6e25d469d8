"""Tests of merging, checking and comparing configuration files."""

import json
import unittest

import hypothesis
from hypothesis import strategies

from quetzalward_core import config
from quetzalward_core import errors
from quetzalward_core import testing

_JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=8),
    lambda inner: strategies.lists(inner, max_size=3)
    | strategies.dictionaries(
        strategies.sampled_from(
            ["zones", "models", "draft", "replicas", "url", "targets", "x"]
        ),
        inner,
        max_size=4,
    ),
    max_leaves=12,
)


def _file(name: str, document: object) -> config.ConfigFile:
    return config.ConfigFile(name, json.dumps(document))


class MergeTest(unittest.TestCase):
    """Guards against files that override each other in the wrong order."""

    def test_later_file_overrides_key_by_key(self) -> None:
        merged = config.merge(
            [
                _file("20-b.json", {"limits": {"max_queue_ms": 2}}),
                _file(
                    "10-a.json",
                    {"limits": {"max_queue_ms": 1, "max_streams": 3}},
                ),
            ]
        )
        self.assertEqual(
            merged.document, {"limits": {"max_queue_ms": 2, "max_streams": 3}}
        )
        self.assertEqual(
            merged.origin(("limits", "max_queue_ms")), "20-b.json"
        )
        self.assertEqual(merged.origin(("limits", "max_streams")), "10-a.json")

    def test_null_removes_and_lists_replace(self) -> None:
        merged = config.merge(
            [
                _file("1.json", {"a": {"b": [1, 2], "c": 1}}),
                _file("2.json", {"a": {"b": [3], "c": None}}),
            ]
        )
        self.assertEqual(merged.document, {"a": {"b": [3]}})

    def test_duplicate_key_is_refused(self) -> None:
        with self.assertRaisesRegex(
            errors.QuetzalwardError,
            r"x\.json: duplicate key 'a' in one object",
        ):
            config.merge([config.ConfigFile("x.json", '{"a": 1, "a": 2}')])


class CheckTest(unittest.TestCase):
    """Guards against publishing a document that nodes cannot apply."""

    def _lines(self, patch: testing.Document) -> list[str]:
        files = [
            _file("10-base.json", testing.config_document()),
            _file("50-override.json", patch),
        ]
        return config.check_files(files)[1]

    def test_valid_document_has_no_problem(self) -> None:
        self.assertEqual(self._lines({}), [])

    def test_problem_names_file_path_and_cause(self) -> None:
        cases = (
            (
                {"models": {"draft": {"replicas": "3"}}},
                "models.draft.replicas: expected an integer, found str",
            ),
            ({"modles": {}}, "unknown key 'modles'"),
            (
                {"customers": {"north": {"key_sha256": ["secret"]}}},
                "customers.north.key_sha256: must be a SHA-256",
            ),
            (
                {"models": {"draft": {"zones": ["zone-x"]}}},
                "models.draft.zones: 'zone-x' is not a declared zone",
            ),
            (
                {
                    "services": {
                        "booking": {"targets": [{"url": "http://h:1"}]}
                    }
                },
                "required key 'zone' is missing",
            ),
            (
                {"routing": {"max_ejected_fraction": 1}},
                "routing.max_ejected_fraction: must be from 0 to below 1",
            ),
            (
                {"routing": {"policy": "cheapest"}},
                "routing.policy: must be 'cost' or 'random'",
            ),
            (
                {"models": {"draft": {"hosts_per_replica": 0}}},
                "models.draft.hosts_per_replica: must be at least 1",
            ),
        )
        for patch, cause in cases:
            with self.subTest(cause):
                lines = self._lines(patch)
                self.assertEqual(len(lines), 1, lines)
                self.assertIn(cause, lines[0])

    def test_problem_starts_with_the_file_name(self) -> None:
        (line,) = self._lines({"models": {"draft": {"replicas": "3"}}})
        self.assertTrue(line.startswith("50-override.json: "), line)

    def test_unknown_keys_are_reported_with_their_file(self) -> None:
        patch = {"limits": {"max_queue": 1, "a @ b": 2, "max_queue_ms": 3}}
        files = [
            _file("10-base.json", {"limits": {"max_streams": 9}}),
            _file("50-override.json", patch),
        ]
        self.assertEqual(
            config.check_files(files)[1],
            [
                "50-override.json: limits.a @ b: unknown key 'a @ b'",
                "50-override.json: limits.max_queue: unknown key 'max_queue'",
            ],
        )

    @hypothesis.settings(derandomize=True, max_examples=150, deadline=None)
    @hypothesis.given(_JSON)
    def test_arbitrary_document_raises_no_other_error(
        self, value: object
    ) -> None:
        try:
            config.check_files(
                [config.ConfigFile("x.json", json.dumps(value))]
            )
        except errors.QuetzalwardError as error:
            self.assertIs(error.kind, errors.ErrorKind.CONFIG_INVALID)


class DiffTest(unittest.TestCase):
    """Guards against a wrong report of what publishing would change."""

    def test_diff_and_explain(self) -> None:
        before = {"limits": {"max_streams": 3, "max_queue_ms": 1}}
        after = {"limits": {"max_streams": 4}, "zones": {"z": {"region": "r"}}}
        lines = [str(change) for change in config.diff(before, after)]
        self.assertEqual(
            lines,
            [
                "- limits.max_queue_ms = 1",
                "~ limits.max_streams: 3 -> 4",
                '+ zones.z.region = "r"',
            ],
        )
        merged = config.merge([_file("a.json", after)])
        first, _ = config.explain(merged)
        self.assertEqual(first.file, "a.json")
        self.assertEqual(len(config.explain(merged, "zones.z")), 1)

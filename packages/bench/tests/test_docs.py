"""Tests that the documentation agrees with the repository."""

import importlib.util
import json
import pathlib
import re
import typing
import unittest

import attrs

from quetzalward_core import config
from quetzalward_node import _settings

ROOT = pathlib.Path(__file__).resolve().parents[3]
PROMISES = ROOT / "docs" / "promises.md"
_LINK = re.compile(r"\[[^\]]*\]\(([^)\s]+)\)")
_NAMED_TEST = re.compile(r"\[`(\w+)`\]\(([^)\s]+\.py)\)")
_FENCE = re.compile(r"^```.*?^```", re.MULTILINE | re.DOTALL)
_TEST_NAME = re.compile(r"\w+(Test|Machine)")
_FRAGMENT_NAME = re.compile(
    r"\d{3}\.[a-z0-9-]+\.(feature|change|fix|removal)\.md"
)


def broken_links(page: pathlib.Path) -> list[str]:
    """Return the relative links of a page that name no file."""
    text = _FENCE.sub("", page.read_text())
    broken = []
    for link in _LINK.findall(text):
        path = link.partition("#")[0]
        if "://" in link or not path:
            continue
        if not (page.parent / path).exists():
            broken.append(f"{page.relative_to(ROOT)}: {link}")
    return broken


def load_tool(name: str) -> typing.Any:
    """Return a module of the directory `tools`."""
    spec = importlib.util.spec_from_file_location(
        name, ROOT / "tools" / f"{name}.py"
    )
    assert spec is not None and spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def _shown(default: typing.Any) -> str:
    """Return a default as the pages write it."""
    if default is attrs.NOTHING:
        return "required"
    if default == 1 / 3:
        return "1/3"
    return json.dumps(default)


class LinksTest(unittest.TestCase):
    """Guards against links to files that were moved or never written."""

    def test_readme(self) -> None:
        self.assertEqual(broken_links(ROOT / "README.md"), [])

    def test_docs(self) -> None:
        pages = sorted((ROOT / "docs").rglob("*.md"))
        self.assertTrue(pages)
        broken = [line for page in pages for line in broken_links(page)]
        self.assertEqual(broken, [])

    def test_news(self) -> None:
        pages = sorted((ROOT / "news").rglob("*.md"))
        self.assertTrue(pages)
        broken = [line for page in pages for line in broken_links(page)]
        self.assertEqual(broken, [])


class PromisesTest(unittest.TestCase):
    """Guards against a promise without a test or with a renamed one."""

    def test_named_tests_exist(self) -> None:
        named = _NAMED_TEST.findall(PROMISES.read_text())
        named = [(n, f) for n, f in named if _TEST_NAME.fullmatch(n)]
        self.assertGreater(len(named), 20)
        for name, file in named:
            text = (PROMISES.parent / file).read_text()
            with self.subTest(name=name, file=file):
                self.assertRegex(text, rf"(?m)^class {name}\b")

    def test_every_requirement_is_quoted_in_full(self) -> None:
        design = (ROOT / "docs" / "design.md").read_text()
        wanted = re.findall(r"^\| (R\d+) \| (.+?) \|$", design, re.M)
        self.assertEqual(len(wanted), 10)
        promises = PROMISES.read_text()
        for name, sentence in wanted:
            with self.subTest(name=name):
                self.assertIn(f"| {name} | {sentence} |", promises)


class ErrorKindsTest(unittest.TestCase):
    """Guards against a page of error kinds that differs from the code."""

    def test_page_matches_the_table(self) -> None:
        page = (ROOT / "docs" / "error-kinds.md").read_text()
        self.assertEqual(page, load_tool("error_kinds").render())


class FieldsTest(unittest.TestCase):
    """Guards against settings that no page explains or that are gone."""

    def _rows(self, page: str, heading: str) -> dict[str, list[str]]:
        """Return the cells of the first table after a heading, by field."""
        text = (ROOT / "docs" / "operations" / page).read_text()
        text = text[text.index(heading) :]
        table = text[text.index("| field |") :].partition("\n\n")[0]
        rows = {}
        for line in table.splitlines()[2:]:
            cells = [cell.strip() for cell in line.strip("|").split("|")]
            rows[cells[0].strip("`")] = cells
        return rows

    def _check(
        self, kind: typing.Any, page: str, heading: str, default_column: int
    ) -> None:
        rows = self._rows(page, heading)
        fields = {field.name: field for field in attrs.fields(kind)}
        self.assertEqual(list(rows), list(fields), heading)
        for name, field in fields.items():
            shown = rows[name][default_column].strip("`")
            with self.subTest(heading=heading, field=name):
                self.assertEqual(shown, _shown(field.default))

    def test_node_settings(self) -> None:
        self._check(_settings.Settings, "install.md", "## Node settings", 2)

    def test_configuration(self) -> None:
        page = "configuration.md"
        named = {
            "zones": config.Zone,
            "models": config.Model,
            "services": config.Service,
            "customers": config.Customer,
            "operators": config.Operator,
        }
        single = {
            "engines": config.Engines,
            "limits": config.Limits,
            "routing": config.Routing,
            "calls": config.Calls,
        }
        sections = {f.name for f in attrs.fields(config.Configuration)}
        self.assertEqual(sections, named.keys() | single.keys())
        for name, kind in named.items():
            self._check(kind, page, f"`{name}.NAME`: ", 2)
        for name, kind in single.items():
            self._check(kind, page, f"\n`{name}`: ", 2)


class NewsTest(unittest.TestCase):
    """Guards against fragments that a release would not pick up."""

    def test_names(self) -> None:
        for path in sorted((ROOT / "news").iterdir()):
            if path.name == "README.md":
                continue
            with self.subTest(path=path.name):
                self.assertRegex(path.name, rf"^{_FRAGMENT_NAME.pattern}$")

"""Tests that the documentation agrees with the repository."""

import importlib.util
import pathlib
import re
import typing
import unittest

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


class NewsTest(unittest.TestCase):
    """Guards against fragments that a release would not pick up."""

    def test_names(self) -> None:
        for path in sorted((ROOT / "news").iterdir()):
            if path.name == "README.md":
                continue
            with self.subTest(path=path.name):
                self.assertRegex(path.name, rf"^{_FRAGMENT_NAME.pattern}$")

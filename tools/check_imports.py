"""Check the packages' import rules.

Decision modules import no I/O, packages depend only in the stated direction,
and there are no import cycles between modules.
"""

import ast
import graphlib
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
# I/O, threads and clocks are forbidden in decision modules, so that the
# decisions can be fuzzed and measured alone.
CORE_FORBIDDEN = {
    "socket",
    "threading",
    "subprocess",
    "asyncio",
    "selectors",
    "multiprocessing",
    "urllib3",
    "grpc",
    "cheroot",
    "http",
    "queue",
}
# clock.py is the one place that reads the system's clock.
CLOCK_FORBIDDEN = {"time", "datetime"}
ALLOWED = {
    "quetzalward_core": set(),
    "quetzalward_wire": {"quetzalward_core"},
    "quetzalward_node": {"quetzalward_core", "quetzalward_wire"},
    "quetzalward_gateway": {"quetzalward_core"},
    # Nothing imports the adapter; the platform starts it.
    "quetzalward_platform": {"quetzalward_core", "quetzalward_gateway"},
    "quetzalward_cli": {"quetzalward_core", "quetzalward_wire"},
    "quetzalward_standins": {"quetzalward_core"},
    "quetzalward_bench": {
        "quetzalward_core",
        "quetzalward_wire",
        "quetzalward_node",
        "quetzalward_gateway",
        "quetzalward_cli",
        "quetzalward_standins",
    },
}


def module_name(path: pathlib.Path, src: pathlib.Path) -> str:
    """Return the dotted module name of a source file."""
    parts = list(path.relative_to(src).with_suffix("").parts)
    if parts[-1] == "__init__":
        parts.pop()
    return ".".join(parts)


def imported(path: pathlib.Path) -> set[str]:
    """Return the dotted names that a source file imports at top level."""
    names = set()
    for node in ast.parse(path.read_text()).body:
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            names |= {f"{node.module}.{a.name}" for a in node.names}
    return names


def check_file(module: str, names: set[str]) -> list[str]:
    """Return the broken rules of one module."""
    package = module.split(".")[0]
    problems = []
    for name in sorted(names):
        top = name.split(".")[0]
        if top.startswith("quetzalward_") and top != package:
            if top not in ALLOWED[package]:
                problems.append(f"{module}: must not import {top}")
        if package != "quetzalward_core":
            continue
        is_clock = module == "quetzalward_core.clock"
        if top in CORE_FORBIDDEN or (top in CLOCK_FORBIDDEN and not is_clock):
            problems.append(f"{module}: decision module imports {top}")
    return problems


def resolve(name: str, modules: set[str]) -> str | None:
    """Return the project module that an imported dotted name refers to."""
    while name and name not in modules:
        name = name.rpartition(".")[0]
    return name or None


def main() -> int:
    """Check every source file and print each broken rule."""
    imports = {}
    for src in [*sorted(ROOT.glob("packages/*/src")), ROOT / "platform/src"]:
        for path in sorted(src.rglob("*.py")):
            if "_pb2" not in path.name:
                imports[module_name(path, src)] = imported(path)
    problems = []
    graph: dict[str, set[str]] = {}
    for module, names in imports.items():
        problems += check_file(module, names)
        found = {resolve(name, set(imports)) for name in names}
        graph[module] = {
            other
            for other in found
            if other and other != module and not module.startswith(other + ".")
        }
    try:
        graphlib.TopologicalSorter(graph).prepare()
    except graphlib.CycleError as error:
        problems.append("import cycle: " + " -> ".join(error.args[1]))
    for problem in problems:
        print(problem)
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())

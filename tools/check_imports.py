"""Check the import rules of the packages.

Decision modules (quetzalward_core) import no I/O, packages import only the
packages that `ALLOWED_PACKAGES` lists, and modules have no import cycles.
"""

import ast
import graphlib
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
# Decision modules use no I/O, threads or clocks, so that they can be fuzzed
# and benchmarked in isolation.
FORBIDDEN_IN_CORE = {
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
# Within quetzalward_core, only clock.py reads the system clock.
FORBIDDEN_OUTSIDE_CLOCK = {"time", "datetime"}
ALLOWED_PACKAGES = {
    "quetzalward_core": set(),
    "quetzalward_wire": {"quetzalward_core"},
    "quetzalward_node": {"quetzalward_core", "quetzalward_wire"},
    "quetzalward_gateway": {"quetzalward_core"},
    # No package imports the adapter: the platform starts it.
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


def imported_names(path: pathlib.Path) -> set[str]:
    """Return the dotted names that a source file imports at top level."""
    names = set()
    for node in ast.parse(path.read_text()).body:
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            names |= {f"{node.module}.{a.name}" for a in node.names}
    return names


def find_violations(module: str, names: set[str]) -> list[str]:
    """Return the violations of one module, given its imported names."""
    package = module.split(".")[0]
    violations = []
    for name in sorted(names):
        imported_package = name.split(".")[0]
        if (
            imported_package.startswith("quetzalward_")
            and imported_package != package
        ):
            if imported_package not in ALLOWED_PACKAGES[package]:
                violations.append(
                    f"{module}: must not import {imported_package}"
                )
        if package != "quetzalward_core":
            continue
        is_clock = module == "quetzalward_core.clock"
        if imported_package in FORBIDDEN_IN_CORE or (
            imported_package in FORBIDDEN_OUTSIDE_CLOCK and not is_clock
        ):
            violations.append(
                f"{module}: decision module imports {imported_package}"
            )
    return violations


def resolve_module(name: str, modules: set[str]) -> str | None:
    """Return the project module that an imported dotted name refers to."""
    while name and name not in modules:
        name = name.rpartition(".")[0]
    return name or None


def main() -> int:
    """Check all source files, print each violation and return the status."""
    imports = {}
    for src in [*sorted(ROOT.glob("packages/*/src")), ROOT / "platform/src"]:
        for path in sorted(src.rglob("*.py")):
            if "_pb2" not in path.name:
                imports[module_name(path, src)] = imported_names(path)
    violations = []
    graph: dict[str, set[str]] = {}
    for module, names in imports.items():
        violations += find_violations(module, names)
        found = {resolve_module(name, set(imports)) for name in names}
        graph[module] = {
            other
            for other in found
            if other and other != module and not module.startswith(other + ".")
        }
    try:
        graphlib.TopologicalSorter(graph).prepare()
    except graphlib.CycleError as error:
        violations.append("import cycle: " + " -> ".join(error.args[1]))
    for violation in violations:
        print(violation)
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())

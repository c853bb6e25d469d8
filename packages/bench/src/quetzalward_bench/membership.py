"""Cost and spread of the exchange between nodes.

`python -m quetzalward_bench membership [--quick]`: first replays of the
exchange (bytes, rounds until a change is known, share of nodes heard lately),
then real nodes on the loopback (CPU time, bytes of TCP payload).
"""

import argparse
import typing

from quetzalward_bench import _nodes
from quetzalward_bench import _rounds
from quetzalward_node.peers import _knowledge

SIZES = (48, 95, 190, 380)
QUICK_SIZES = (12, 24, 48)
SEED = 1
BYTES_LIMIT = 29_000
CPU_LIMIT_PERCENT = 1.0


def _slope(points: typing.Sequence[tuple[float, float]]) -> float:
    """Return the least-squares slope."""
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    upper = sum((x - mean_x) * (y - mean_y) for x, y in points)
    return upper / sum((x - mean_x) ** 2 for x, _ in points)


def _print_replays(sizes: typing.Sequence[int]) -> None:
    """Print the replays of the design in force and of the alternatives."""
    print("replay: requests count | nodes | payload B/s | rounds until known:")
    print("  one change, all changed 95%, all | heard within 5 s: least,")
    print("  median | demand age s")
    variants: tuple[tuple[str, int | None], ...] = (
        ("in force: 0.5 s older", _knowledge.EXCHANGE_TIMEOUT_MS),
        ("answers only", None),
        ("1 s older", 1_000),
        ("at once", 0),
    )
    for name, push_ms in variants:
        shown = sizes if push_ms == variants[0][1] else sizes[-1:]
        for size in shown:
            found = _rounds.run(size, SEED, push_ms)
            print(
                f"  {name:22} {size:4} {found.payload_bytes_per_s:8.0f}"
                f" {found.one_rounds:4.0f} {found.most_rounds:4.0f}"
                f" {found.all_rounds:4.0f}"
                f" {found.least_heard:6.3f} {found.median_heard:6.3f}"
                f" {found.demand_age_s:6.1f}"
            )


def _print_nodes(sizes: typing.Sequence[int]) -> bool:
    """Print what real nodes cost; true if the largest is within limits."""
    print("real nodes: nodes | exchanges/s | failed | CPU % | wire B/s |")
    print("  isolated without log | RSS MB of all")
    rows = []
    for size in sizes:
        found = _nodes.run(size)
        rows.append(found)
        print(
            f"  {size:4} {found.exchanges_per_s:6.2f} {found.failures:4}"
            f" {found.cpu_percent:6.3f} {found.wire_bytes_per_s:8.0f}"
            f" {found.isolated:4} {found.rss_mb:8.0f}",
            flush=True,
        )
    cpu = _slope([(row.nodes, row.cpu_percent) for row in rows])
    wire = _slope([(row.nodes, row.wire_bytes_per_s) for row in rows])
    print(f"slope per node: {cpu:.5f} % CPU, {wire:.1f} B/s")
    last = rows[-1]
    within = (
        last.cpu_percent <= CPU_LIMIT_PERCENT
        and last.wire_bytes_per_s <= BYTES_LIMIT
    )
    print(f"{last.nodes} nodes within limits: {'yes' if within else 'no'}")
    return within


def main(arguments: typing.Sequence[str]) -> int:
    """Run the measurement; 1 if the largest fleet exceeds a limit."""
    parser = argparse.ArgumentParser(prog="quetzalward_bench membership")
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--no-nodes", action="store_true")
    parser.add_argument("--no-replays", action="store_true")
    options = parser.parse_args(arguments)
    sizes = QUICK_SIZES if options.quick else SIZES
    if not options.no_replays:
        _print_replays(sizes)
    if options.no_nodes:
        return 0
    return 0 if _print_nodes(sizes) else 1

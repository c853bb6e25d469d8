"""Detection of a node's isolation from the log and its peers."""

import typing

from quetzalward_core import clock
from quetzalward_core.membership import _model

FRESHNESS_LIMIT_MS = 5_000
MAJORITY = "majority"
REGION = "region"


def count_recently_heard(
    own_node: str,
    members: typing.Mapping[str, _model.Member],
    last_heard_ms_by_node: typing.Mapping[str, clock.Millis],
    now_ms: clock.Millis,
    region: str | None = None,
) -> tuple[int, int]:
    """Return how many nodes were heard recently, and how many there are.

    Recently means within `FRESHNESS_LIMIT_MS`. The node itself counts as
    heard. If a region is given, only its nodes count.
    """
    counted = total = 0
    for node, member in members.items():
        if region is not None and member.region != region:
            continue
        total += 1
        heard_ms = last_heard_ms_by_node.get(node)
        recent = (
            heard_ms is not None and now_ms - heard_ms <= FRESHNESS_LIMIT_MS
        )
        counted += node == own_node or recent
    return counted, total


def is_isolated(
    own_node: str,
    members: typing.Mapping[str, _model.Member],
    last_heard_ms_by_node: typing.Mapping[str, clock.Millis],
    head_age_ms: clock.Millis,
    now_ms: clock.Millis,
    mode: str = MAJORITY,
) -> bool:
    """Tell whether a node knows neither the log's head nor a majority.

    `mode` is the setting `serve_without_log`: the majority is one of all
    nodes, or of the node's region. A node that is no longer in the fold,
    because it expired, has no majority.
    """
    if head_age_ms <= FRESHNESS_LIMIT_MS:
        return False
    if own_node not in members:
        return True
    region = members[own_node].region if mode == REGION else None
    counted, total = count_recently_heard(
        own_node, members, last_heard_ms_by_node, now_ms, region
    )
    return 2 * counted <= total

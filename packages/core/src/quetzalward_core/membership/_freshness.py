"""When a node must count itself as cut off."""

import typing

from quetzalward_core import clock
from quetzalward_core.membership import _model

FRESH_MS = 5_000
MAJORITY = "majority"
REGION = "region"


def heard_lately(
    own: str,
    members: typing.Mapping[str, _model.Member],
    heard_ms_by_node: typing.Mapping[str, clock.Millis],
    now_ms: clock.Millis,
    region: str | None = None,
) -> tuple[int, int]:
    """Return how many nodes were heard lately, and how many there are.

    The node counts itself. With a region only its nodes count.
    """
    counted = total = 0
    for node, member in members.items():
        if region is not None and member.region != region:
            continue
        total += 1
        heard_ms = heard_ms_by_node.get(node)
        lately = heard_ms is not None and now_ms - heard_ms <= FRESH_MS
        counted += node == own or lately
    return counted, total


def is_isolated(
    own: str,
    members: typing.Mapping[str, _model.Member],
    heard_ms_by_node: typing.Mapping[str, clock.Millis],
    head_age_ms: clock.Millis,
    now_ms: clock.Millis,
    mode: str = MAJORITY,
) -> bool:
    """Tell whether a node has neither the log's head nor a majority.

    `mode` is the setting `serve_without_log`. A node that the fold does not
    name any more (it was expired) has no majority.
    """
    if head_age_ms <= FRESH_MS:
        return False
    if own not in members:
        return True
    region = members[own].region if mode == REGION else None
    counted, total = heard_lately(
        own, members, heard_ms_by_node, now_ms, region
    )
    return 2 * counted <= total

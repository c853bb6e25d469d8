"""Builders of test data, shared by the tests of every package."""

import typing

from quetzalward_core import routing


def make_group(
    group_id: str = "g1", model: str = "m", zone: str = "z1", **fields: object
) -> routing.GroupView:
    """Return a serving group of two hosts named after it."""
    defaults: dict[str, typing.Any] = {
        "epoch": 1024,
        "state": routing.SERVING,
        "hosts": tuple(
            routing.HostId(f"{group_id}-h{n}", "1") for n in range(2)
        ),
    }
    return routing.GroupView(
        group_id=group_id, model=model, zone=zone, **(defaults | fields)
    )


def make_report(
    group: routing.GroupView, as_of_ms: int = 0, **fields: object
) -> routing.EngineReport:
    """Return a warm, idle report that names exactly the group's hosts."""
    defaults: dict[str, typing.Any] = {
        "epoch": group.epoch,
        "hosts": frozenset(group.hosts),
        "state": routing.EngineState.WARM,
        "models": frozenset({group.model}),
        "running": 0,
        "waiting": 0,
        "kv_used": 0.0,
        "token_ms": 30.0,
        "bearable": 16,
    }
    return routing.EngineReport(
        target_id=group.group_id, as_of_ms=as_of_ms, **(defaults | fields)
    )


def make_host_list(
    groups: typing.Iterable[routing.GroupView], as_of_ms: int = 0
) -> routing.HostList:
    """Return a list on which every host of the groups is live."""
    entries = {
        member.host: routing.HostEntry(
            member.host,
            member.incarnation,
            group.zone,
            "d1",
            False,
            f"http://127.0.0.1:1/{member.host}",
        )
        for group in groups
        for member in group.hosts
    }
    return routing.HostList(as_of_ms, entries)

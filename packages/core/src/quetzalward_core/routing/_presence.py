"""Whether all hosts of a replica are present (requirement R1)."""

import enum

from quetzalward_core import clock
from quetzalward_core.routing import _model

REPORT_MAX_AGE_MS = 3_000
# An older host list proves neither presence nor absence.
HOST_LIST_MAX_AGE_MS = 60_000


class Presence(enum.StrEnum):
    """Result of the presence check; only `READY` permits new work."""

    READY = "ready"
    NOT_SERVING = "not_serving"
    REPORT_MISSING = "report_missing"
    REPORT_OLD = "report_old"
    WRONG_EPOCH = "wrong_epoch"
    WRONG_HOSTS = "wrong_hosts"
    NOT_LOADED = "not_loaded"
    HOST_GONE = "host_gone"
    HOST_REPLACED = "host_replaced"
    HOST_LEAVING = "host_leaving"


def presence(
    group: _model.GroupView,
    report: _model.EngineReport | None,
    host_list: _model.HostList | None,
    now_ms: clock.Millis,
) -> Presence:
    """Return whether the group's replica may get new work, or why not."""
    if group.state != _model.SERVING:
        return Presence.NOT_SERVING
    if report is None or report.target_id != group.group_id:
        return Presence.REPORT_MISSING
    if now_ms - report.as_of_ms > REPORT_MAX_AGE_MS:
        return Presence.REPORT_OLD
    if report.epoch != group.epoch:
        return Presence.WRONG_EPOCH
    if report.hosts != frozenset(group.hosts):
        return Presence.WRONG_HOSTS
    if report.state in (_model.EngineState.LOADING, _model.EngineState.EMPTY):
        return Presence.NOT_LOADED
    return _check_host_list(group, host_list, now_ms)


def _check_host_list(
    group: _model.GroupView,
    host_list: _model.HostList | None,
    now_ms: clock.Millis,
) -> Presence:
    """Compare the group's hosts with the host list, if it is recent."""
    if host_list is None:
        return Presence.READY
    if now_ms - host_list.as_of_ms > HOST_LIST_MAX_AGE_MS:
        return Presence.READY
    entries = [host_list.hosts.get(member.host) for member in group.hosts]
    if None in entries:
        return Presence.HOST_GONE
    for member, entry in zip(group.hosts, entries):
        if entry and entry.incarnation != member.incarnation:
            return Presence.HOST_REPLACED
    if any(entry and entry.leaving for entry in entries):
        return Presence.HOST_LEAVING
    return Presence.READY


def presence_valid_until_ms(
    report: _model.EngineReport | None,
    host_list: _model.HostList | None,
    now_ms: clock.Millis,
) -> clock.Millis | None:
    """Return when the result of `presence` expires; `None` for never.

    Before that time the result for the same arguments does not change.
    """
    limits = []
    if report is not None:
        limits.append(report.as_of_ms + REPORT_MAX_AGE_MS + 1)
    if host_list is not None:
        limits.append(host_list.as_of_ms + HOST_LIST_MAX_AGE_MS + 1)
    return min((limit for limit in limits if limit > now_ms), default=None)

"""Handlers of the operators' API; they take and return JSON values."""

import typing

import attrs

from quetzalward_core import agreement
from quetzalward_core import clock
from quetzalward_core import config
from quetzalward_core import errors
from quetzalward_node import interfaces
from quetzalward_node.operators import _pending

APPEND_TIMEOUT_MS = 5_000
ZONE_STATES = ("in", "out")

Json = dict[str, typing.Any]


def _malformed(detail: str) -> errors.QuetzalwardError:
    return errors.QuetzalwardError(errors.ErrorKind.MALFORMED_REQUEST, detail)


def _field(body: typing.Any, name: str, kind: type) -> typing.Any:
    value = body.get(name) if isinstance(body, dict) else None
    # bool is a subclass of int, but neither is accepted for the other.
    if not isinstance(value, kind) or isinstance(value, bool) != (
        kind is bool
    ):
        raise _malformed(f"field {name!r} must be of type {kind.__name__}")
    return value


@attrs.frozen
class OperatorsApi:
    """Reads the control state and appends operators' changes to the log."""

    control: interfaces.ControlLog
    configuration: typing.Callable[[], config.Configuration]
    fleet: interfaces.FleetView
    stop_orders: interfaces.StopOrders
    pending: _pending.PendingStops
    time: clock.Clock
    # Stopped on this node, by the log or by a direct stop order.
    zones_out: typing.Callable[[], frozenset[str]]
    targets_draining: typing.Callable[[], frozenset[str]]
    # State of each target as known to this node, by target id.
    targets: typing.Callable[[], dict[str, Json]]
    not_ready: typing.Callable[[], list[str]]
    drain: typing.Callable[[], None]

    def show_config(self) -> Json:
        """Return the configuration in force and its revision."""
        state = self.control.state()
        return {
            "revision": state.config_revision,
            "document": state.config_document,
        }

    def history(self) -> Json:
        """Return the retained configuration revisions, newest last."""
        revisions = self.control.state().config_history
        return {"revisions": [attrs.asdict(entry) for entry in revisions]}

    def publish(self, operator: str, body: typing.Any) -> Json:
        """Propose a configuration that replaces its base revision.

        Raises `QuetzalwardError`: malformed_request, config_invalid,
        config_conflict, log_unavailable, outcome_unknown.
        """
        base = _field(body, "base_revision", int)
        document = _field(body, "document", dict)
        publication_id = body.get("publication_id", "")
        if not isinstance(publication_id, str):
            raise _malformed("field 'publication_id' must be of type str")
        config.require_valid(document)
        entry = agreement.ConfigProposed(
            base, document, operator, publication_id
        )
        result = self._append(entry)
        if isinstance(result, agreement.Accepted):
            return {"revision": result.position}
        current = self.control.state().config_revision
        raise errors.QuetzalwardError(
            errors.ErrorKind.CONFIG_CONFLICT,
            f"configuration is based on revision {base},"
            f" but revision {current} is in force",
        )

    def nodes(self) -> Json:
        """Return every joined node with its last reported status."""
        status = self.fleet.status_by_node()
        rows = []
        for name, node in sorted(self.control.state().nodes_by_name.items()):
            last_status = status.get(name)
            rows.append(
                {
                    "name": name,
                    "zone": node.zone,
                    "region": node.region,
                    "state": "joined",
                    "config_revision": (
                        last_status.config_revision if last_status else 0
                    ),
                    "heard_age_ms": (
                        last_status.heard_age_ms if last_status else None
                    ),
                    "operators_url": f"http://{node.operators}",
                }
            )
        return {"nodes": rows}

    def zones(self) -> Json:
        """Return every declared zone and its state on this node."""
        out = self.zones_out()
        rows = []
        for name, zone in sorted(self.configuration().zones.items()):
            value = "out" if name in out else "in"
            rows.append({"zone": name, "region": zone.region, "state": value})
        return {"zones": rows}

    def set_zone(self, operator: str, zone: str, body: typing.Any) -> Json:
        """Take a zone out of service at once, or restore it via the log."""
        value = _field(body, "state", str)
        if value not in ZONE_STATES:
            raise _malformed("field 'state' must be 'in' or 'out'")
        if zone not in self.configuration().zones:
            raise errors.QuetzalwardError(
                errors.ErrorKind.NOT_FOUND, f"zone {zone!r} is not declared"
            )
        recorded = self.control.state().zones_by_name.get(zone)
        basis = recorded.changed if recorded else 0
        entry = agreement.ZoneSet(zone, value, basis, operator)
        if value == "out":
            self.stop_orders.stop_zone(zone, basis)
            return {"on_log": self.pending.submit(entry)}
        # A direct stop order may be in force that is not on the log yet.
        if zone not in self.zones_out():
            return {"on_log": True}
        return self._append_start(entry, f"zone {zone!r}")

    def set_target(self, operator: str, target: str, body: typing.Any) -> Json:
        """Drain a target at once, or end its drain through the log."""
        draining = _field(body, "draining", bool)
        state = self.control.state()
        if target not in state.groups_by_id:
            raise errors.QuetzalwardError(
                errors.ErrorKind.NOT_FOUND, f"no target is named {target!r}"
            )
        recorded = state.drains_by_target.get(target)
        basis = recorded.changed if recorded else 0
        entry = agreement.TargetDrainSet(target, draining, basis, operator)
        if draining:
            self.stop_orders.stop_target(target, basis)
            return {"on_log": self.pending.submit(entry)}
        if target not in self.targets_draining():
            return {"on_log": True}
        return self._append_start(entry, f"target {target!r}")

    def list_targets(self) -> Json:
        """Return this node's view of each target."""
        rows = self.targets()
        return {"targets": [{"target": k, **rows[k]} for k in sorted(rows)]}

    def groups(self) -> Json:
        """Return every serving group."""
        state = self.control.state()
        rows = [self._group_row(g) for g in state.groups_by_id.values()]
        return {"groups": sorted(rows, key=lambda row: row["group"])}

    def explain_group(self, group_id: str) -> Json:
        """Return a group's record and the state that affects its routing."""
        state = self.control.state()
        group = state.groups_by_id.get(group_id)
        if group is None:
            raise errors.QuetzalwardError(
                errors.ErrorKind.NOT_FOUND, f"no group is named {group_id!r}"
            )
        row = self._group_row(group)
        row["zone_out"] = group.zone in self.zones_out()
        row["draining"] = group_id in self.targets_draining()
        row["epoch"] = group.epoch
        row.update(self.targets().get(group_id, {}))
        return row

    def status(self) -> Json:
        """Return a summary of this node's readiness and the control state."""
        state = self.control.state()
        groups = list(state.groups_by_id.values())
        serving = sum(group.state == "serving" for group in groups)
        reasons = self.not_ready()
        return {
            "ready": not reasons,
            "not_ready": reasons,
            "config_revision": state.config_revision,
            "nodes": len(state.nodes_by_name),
            "groups": len(groups),
            "groups_serving": serving,
            "zones_out": sorted(self.zones_out()),
            "log_age_ms": self.control.head_age_ms(),
            "stops_waiting_for_log": self.pending.count(),
        }

    def start_drain(self) -> Json:
        """Stop this node gracefully."""
        self.drain()
        return {"draining": True}

    @staticmethod
    def _group_row(group: agreement.Group) -> Json:
        return {
            "group": group.group,
            "model": group.model,
            "zone": group.zone,
            "domain": group.domain,
            "state": group.state,
            "hosts": [member.host for member in group.hosts],
        }

    def _append(self, entry: agreement.Entry) -> agreement.EntryResult:
        deadline_ms = self.time.now_ms() + APPEND_TIMEOUT_MS
        return self.control.append([entry], deadline_ms)[0]

    def _append_start(self, entry: agreement.Entry, what: str) -> Json:
        result = self._append(entry)
        if isinstance(result, agreement.Void):
            raise errors.QuetzalwardError(
                errors.ErrorKind.CONFIG_CONFLICT,
                f"{what} was changed by another operator in the meantime",
            )
        return {"on_log": True}

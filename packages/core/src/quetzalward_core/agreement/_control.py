"""The fold of the control stream."""

import typing

from quetzalward_core.agreement import _codec
from quetzalward_core.agreement import _control_rules
from quetzalward_core.agreement import _fold
from quetzalward_core.agreement import _model
from quetzalward_core.agreement import _records
from quetzalward_core.agreement import _results

_CONVERTER = _codec.make_converter()
_ITEMS_PER_LINE = 200


class ControlState(_fold.Fold):
    """State of configuration, zones, nodes, hosts, leases, groups, drains."""

    stream_kind = "control"

    def __init__(self) -> None:
        """Create an empty state."""
        super().__init__()
        self._tables = _control_rules.Tables()
        self._view: _model.ControlView | None = None

    def apply_batch(
        self, offset: int, time_ms: int, data: str
    ) -> _results.BatchResult | None:
        """Apply one record; see `Fold.apply_batch`."""
        self._view = None
        return super().apply_batch(offset, time_ms, data)

    def view(self) -> _model.ControlView:
        """Return the current state as an immutable view."""
        if self._view is None:
            self._view = self._make_view()
        return self._view

    def _make_view(self) -> _model.ControlView:
        tables = self._tables
        return _model.ControlView(
            next_offset=self.next_offset,
            time_ms=self.time_ms,
            config_revision=tables.config_revision,
            config_document=tables.config_document,
            config_history=tables.config_history,
            zones_by_name=tables.zones_by_name.freeze(),
            nodes_by_name=tables.nodes_by_name.freeze(),
            hosts_by_id=tables.hosts_by_id.freeze(),
            leases_by_resource=tables.leases_by_resource.freeze(),
            groups_by_id=tables.groups_by_id.freeze(),
            group_ids_by_host=tables.group_ids_by_host.freeze(),
            drains_by_target=tables.drains_by_target.freeze(),
            void_by_reason=dict(self.void_by_reason),
            accepted_count=self.accepted_count,
        )

    def _apply_entry(
        self, position: int, writer: str, entry: _records.Entry
    ) -> _results.EntryResult:
        rule = _control_rules.RULES.get(type(entry))
        if rule is None:
            reason: _results.VoidReason | None = (
                _results.VoidReason.WRONG_STREAM
            )
        else:
            reason = rule(self._tables, position, self.time_ms, entry)
        if reason is None:
            return _results.Accepted(position)
        return _results.Void(position, reason)

    def _copy_from(self, other: "ControlState") -> None:
        self._tables = other._tables.copy()

    def _sections(self) -> typing.Iterator[tuple[str, typing.Any]]:
        tables = self._tables
        yield "config_revision", tables.config_revision
        yield "config_document", tables.config_document
        yield "config_history", _CONVERTER.unstructure(tables.config_history)
        for name in _control_rules.CLASS_BY_TABLE:
            # Sorted by key, because the order of a table's items depends on
            # earlier removals. The tables are small enough for this.
            items = sorted(getattr(tables, name).items())
            for start in range(0, len(items), _ITEMS_PER_LINE):
                chunk = dict(items[start : start + _ITEMS_PER_LINE])
                yield name, _CONVERTER.unstructure(chunk)

    def _restore_section(self, name: str, value: typing.Any) -> None:
        tables = self._tables
        if name == "config_revision":
            tables.config_revision = int(value)
        elif name == "config_document":
            tables.config_document = dict(value)
        elif name == "config_history":
            tables.config_history = tuple(
                _CONVERTER.structure(item, _model.ConfigRevision)
                for item in value
            )
        else:
            self._restore_table(name, value)

    def _restore_table(self, name: str, value: dict[str, typing.Any]) -> None:
        cls = _control_rules.CLASS_BY_TABLE[name]
        table = getattr(self._tables, name)
        for key, item in value.items():
            table.set(key, _CONVERTER.structure(item, cls))
        if name == "groups_by_id":
            for key in value:
                for member in table.get(key).hosts:
                    self._tables.group_ids_by_host.set(member.host, key)

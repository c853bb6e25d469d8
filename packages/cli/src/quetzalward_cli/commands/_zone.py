"""`quetzalward zone`: take-out, bring-back, list."""

import attrs

from quetzalward_cli import _output
from quetzalward_cli import _stop
from quetzalward_cli.commands import _config

ZONES_PATH = "/operators/v1/zones"


class ZoneCommand:
    """Take availability zones out of service and bring them back."""

    def __init__(self, context: _config.Context) -> None:
        """Create the commands with the shared options."""
        self._context = context

    def list(self) -> _output.Report:
        """Show every availability zone and its state."""
        value = self._context.client().get(ZONES_PATH)
        rows = tuple(value["zones"])
        return _output.Report(value, self._context.as_json, rows=rows)

    def take_out(self, zone: str) -> _output.Report:
        """Stop new work to a zone; requests in progress finish."""
        delivery = _stop.send_to_all_nodes(
            self._context.client(), f"{ZONES_PATH}/{zone}", {"state": "out"}
        )
        _stop.require_all_confirmed(delivery, f"{zone} is taken out")
        count = len(delivery.confirmed)
        line = f"{zone} is out; confirmed by {count} nodes"
        value = attrs.asdict(delivery)
        return _output.Report(value, self._context.as_json, lines=(line,))

    def bring_back(self, zone: str) -> _output.Report:
        """Allow new work to a zone again."""
        value = self._context.client().request(
            "POST", f"{ZONES_PATH}/{zone}", {"state": "in"}
        )
        line = f"{zone} is in"
        return _output.Report(value, self._context.as_json, lines=(line,))

"""`quetzalward target`: drain, undrain, list."""

import attrs

from quetzalward_cli import _output
from quetzalward_cli import _stop
from quetzalward_cli.commands import _config

TARGETS_PATH = "/operators/v1/targets"


class TargetCommand:
    """Stop and resume sending new work to individual targets."""

    def __init__(self, context: _config.Context) -> None:
        """Create the commands with the shared options."""
        self._context = context

    def list(self) -> _output.Report:
        """Show the targets as seen by the node that answers."""
        value = self._context.client().get(TARGETS_PATH)
        rows = tuple(value["targets"])
        return _output.Report(value, self._context.as_json, rows=rows)

    def drain(self, target: str) -> _output.Report:
        """Stop new work to a target; requests in progress finish."""
        delivery = _stop.send_to_all_nodes(
            self._context.client(),
            f"{TARGETS_PATH}/{target}",
            {"draining": True},
        )
        _stop.require_all_confirmed(delivery, f"{target} is draining")
        line = f"{target} drains; confirmed by {len(delivery.confirmed)} nodes"
        value = attrs.asdict(delivery)
        return _output.Report(value, self._context.as_json, lines=(line,))

    def undrain(self, target: str) -> _output.Report:
        """Allow new work to a target again."""
        value = self._context.client().request(
            "POST", f"{TARGETS_PATH}/{target}", {"draining": False}
        )
        line = f"{target} takes new work again"
        return _output.Report(value, self._context.as_json, lines=(line,))

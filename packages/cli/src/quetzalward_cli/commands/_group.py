"""`quetzalward group`: list, explain."""

from quetzalward_cli import _output
from quetzalward_cli.commands import _config

GROUPS_PATH = "/operators/v1/groups"


class GroupCommand:
    """Inspect the serving groups."""

    def __init__(self, context: _config.Context) -> None:
        """Create the commands with the shared options."""
        self._context = context

    def list(self) -> _output.Report:
        """Show every serving group, its hosts and its state."""
        value = self._context.client().get(GROUPS_PATH)
        rows = tuple(value["groups"])
        return _output.Report(value, self._context.as_json, rows=rows)

    def explain(self, group: str) -> _output.Report:
        """Show why a group serves or does not."""
        value = self._context.client().get(f"{GROUPS_PATH}/{group}")
        rows = tuple({"item": k, "value": v} for k, v in value.items())
        return _output.Report(value, self._context.as_json, rows=rows)

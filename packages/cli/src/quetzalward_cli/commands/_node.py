"""`quetzalward node`: list, drain."""

from quetzalward_cli import _output
from quetzalward_cli.commands import _config
from quetzalward_core import errors

NODES_PATH = "/operators/v1/nodes"


class NodeCommand:
    """Inspect the nodes and stop them gracefully."""

    def __init__(self, context: _config.Context) -> None:
        """Create the commands with the shared options."""
        self._context = context

    def list(self) -> _output.Report:
        """Show every node and the configuration revision it has in force."""
        value = self._context.client().get(NODES_PATH)
        rows = tuple(value["nodes"])
        return _output.Report(value, self._context.as_json, rows=rows)

    def drain(self, name: str) -> _output.Report:
        """Stop one node after its requests in progress have finished."""
        client = self._context.client()
        nodes = client.get(NODES_PATH)["nodes"]
        for node in nodes:
            if node["name"] == name and node["state"] == "joined":
                path = "/operators/v1/drain"
                value = client.request_node(
                    node["operators_url"], "POST", path
                )
                line = f"{name} takes no new work and stops when it is idle"
                return _output.Report(
                    value, self._context.as_json, lines=(line,)
                )
        raise errors.QuetzalwardError(
            errors.ErrorKind.NOT_FOUND, f"no live node is named {name!r}"
        )

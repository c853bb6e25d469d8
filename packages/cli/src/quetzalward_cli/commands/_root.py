"""Root of the command tree, with the commands that have no group."""

from quetzalward_cli import _client
from quetzalward_cli import _output
from quetzalward_cli.commands import _config
from quetzalward_cli.commands import _group
from quetzalward_cli.commands import _node
from quetzalward_cli.commands import _target
from quetzalward_cli.commands import _zone


class Quetzalward:
    """Operate quetzalward.

    Exit codes: 0 done, 1 failed, 2 invalid input, 3 conflict, 4 not confirmed
    or not reached, 5 not allowed.
    """

    def __init__(
        self,
        node: str | None = None,
        token_file: str | None = None,
        ca_file: str | None = None,
        json: bool = False,
    ) -> None:
        """Create the command tree with the options shared by all commands.

        Args:
            node: operators' API URLs of the nodes, separated by commas.
            token_file: file that holds the operator's token.
            ca_file: PEM file with the certificate authority of the nodes.
            json: print JSON instead of tables.
        """
        self._context = _config.Context(node, token_file, ca_file, json)
        self.config = _config.ConfigCommand(self._context)
        self.zone = _zone.ZoneCommand(self._context)
        self.target = _target.TargetCommand(self._context)
        self.group = _group.GroupCommand(self._context)
        self.node = _node.NodeCommand(self._context)

    def status(self) -> _output.Report:
        """Show what the nodes serve and what is not working."""
        value = self._client().get("/operators/v1/status")
        rows = tuple(
            {"item": key, "value": value[key]} for key in sorted(value)
        )
        return _output.Report(value, self._context.as_json, rows=rows)

    def trace(self, request_id: str) -> _output.Report:
        """Show the spans of one request on the node that served it."""
        spans: list[dict[str, object]] = []
        client = self._client()
        for url in client.node_urls:
            path = f"/operators/v1/traces/{request_id}"
            spans += client.request_node(url, "GET", path)["spans"]
        return _output.Report(spans, self._context.as_json, rows=tuple(spans))

    def _client(self) -> _client.OperatorClient:
        return self._context.client()

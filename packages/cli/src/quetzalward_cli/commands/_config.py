"""`quetzalward config`: check, diff, explain, publish, show, history."""

import time
import uuid

import attrs

from quetzalward_cli import _client
from quetzalward_cli import _folder
from quetzalward_cli import _output
from quetzalward_cli import _publish
from quetzalward_core import clock
from quetzalward_core import config
from quetzalward_core import errors

# Documented upper bound for a change to be in force on every node.
IN_FORCE_TIMEOUT_S = 15.0


@attrs.frozen
class Context:
    """The options shared by all commands."""

    node: str | None
    token_file: str | None
    ca_file: str | None
    as_json: bool

    def client(self) -> _client.OperatorClient:
        """Return a client for the nodes named by the options."""
        return _client.OperatorClient(
            _client.connection_settings(
                self.node, self.token_file, self.ca_file
            )
        )


def _sleep(delay_ms: clock.Millis) -> None:
    time.sleep(delay_ms / clock.MILLIS_PER_SECOND)


class ConfigCommand:
    """Check and publish a configuration folder; show the one in force."""

    def __init__(self, context: Context) -> None:
        """Create the commands with the shared options."""
        self._context = context

    def check(self, folder: str) -> _output.Report:
        """Validate a folder without publishing it."""
        merged = _folder.load_validated(folder)
        value = {"valid": True, "values": len(config.flatten(merged.document))}
        line = f"{folder}: valid, {value['values']} values"
        return self._report(value, (line,))

    def explain(self, folder: str, path: str = "") -> _output.Report:
        """Show which file sets each value below a dotted path."""
        merged = _folder.load_validated(folder)
        rows = tuple(
            {"path": ".".join(e.path), "value": e.value, "file": e.file}
            for e in config.explain(merged, path)
        )
        return _output.Report(list(rows), self._context.as_json, rows=rows)

    def diff(self, folder: str) -> _output.Report:
        """Show what publishing a folder would change."""
        merged = _folder.load_validated(folder)
        current = self._context.client().get(_publish.CONFIG_PATH)
        changes = config.diff(current["document"], merged.document)
        value = [attrs.asdict(change) for change in changes]
        lines = tuple(str(change) for change in changes)
        return self._report(value, lines or ("no difference",))

    def publish(
        self,
        folder: str,
        base: int | None = None,
        timeout_s: float = IN_FORCE_TIMEOUT_S,
    ) -> _output.Report:
        """Publish a folder and wait until every live node has it in force.

        Args:
            folder: the configuration folder.
            base: revision that the folder is based on; defaults to the one in
                force.
            timeout_s: how long to wait for the nodes, in seconds.
        """
        merged = _folder.load_validated(folder)
        client = self._context.client()
        revision = _publish.publish(
            client, merged.document, base, str(uuid.uuid4())
        )
        result = _publish.wait_in_force(
            client,
            revision,
            int(timeout_s * clock.MILLIS_PER_SECOND),
            clock.SystemClock(),
            _sleep,
        )
        if result.missing:
            raise errors.QuetzalwardError(
                errors.ErrorKind.OUTCOME_UNKNOWN,
                f"revision {revision} is accepted but not yet in force on"
                f" {', '.join(result.missing)}",
            )
        names = ", ".join(result.in_force)
        line = f"revision {revision} is in force on {names}"
        return self._report(attrs.asdict(result), (line,))

    def show(self) -> _output.Report:
        """Show the configuration in force."""
        value = self._context.client().get(_publish.CONFIG_PATH)
        rows = tuple(
            {"path": ".".join(path), "value": item}
            for path, item in config.flatten(value["document"]).items()
        )
        lines = (f"revision {value['revision']}",)
        return _output.Report(value, self._context.as_json, rows, lines)

    def history(self) -> _output.Report:
        """Show the retained revisions, newest last."""
        value = self._context.client().get(_publish.HISTORY_PATH)
        rows = tuple(value["revisions"])
        return _output.Report(value, self._context.as_json, rows=rows)

    def _report(self, value: object, lines: tuple[str, ...]) -> _output.Report:
        return _output.Report(value, self._context.as_json, lines=lines)

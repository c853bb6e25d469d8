"""Publication of a configuration and waiting until it is in force."""

import typing

import attrs

from quetzalward_cli import _client
from quetzalward_cli import _output
from quetzalward_core import clock
from quetzalward_core import config
from quetzalward_core import errors

CONFIG_PATH = "/operators/v1/config"
HISTORY_PATH = "/operators/v1/config/history"
NODES_PATH = "/operators/v1/nodes"
POLL_INTERVAL_MS = 200

Sleep = typing.Callable[[clock.Millis], None]


@attrs.frozen
class Publication:
    """An accepted configuration and the nodes that have it in force."""

    revision: int
    in_force: tuple[str, ...]
    missing: tuple[str, ...]


def publish(
    client: _client.OperatorClient,
    document: typing.Mapping[str, typing.Any],
    base_revision: int | None,
    publication_id: str,
) -> int:
    """Publish a document and return its revision.

    A lost answer is resolved by reading the history. Raises
    `QuetzalwardError`: config_conflict with the difference, config_invalid,
    outcome_unknown if the history cannot be read either.
    """
    current = client.get(CONFIG_PATH)
    base = current["revision"] if base_revision is None else base_revision
    body = {
        "base_revision": base,
        "document": document,
        "publication_id": publication_id,
    }
    try:
        return int(client.request("POST", CONFIG_PATH, body)["revision"])
    except _client.LostAnswer as lost:
        return _resolve(client, publication_id, lost)
    except errors.QuetzalwardError as error:
        if error.kind is errors.ErrorKind.CONFIG_CONFLICT:
            raise _conflict(client, base, document) from error
        raise


def _resolve(
    client: _client.OperatorClient,
    publication_id: str,
    lost: _client.LostAnswer,
) -> int:
    for entry in client.get(HISTORY_PATH)["revisions"]:
        if entry.get("publication_id") == publication_id:
            return int(entry["revision"])
    raise errors.QuetzalwardError(
        errors.ErrorKind.OUTCOME_UNKNOWN,
        f"the answer was lost ({lost}) and the history does not show the"
        " publication yet; run `quetzalward config history`",
    )


def _conflict(
    client: _client.OperatorClient,
    base: int,
    document: typing.Mapping[str, typing.Any],
) -> errors.QuetzalwardError:
    current = client.get(CONFIG_PATH)
    changes = config.diff(current["document"], document)
    lines = "\n  ".join(str(change) for change in changes)
    return errors.QuetzalwardError(
        errors.ErrorKind.CONFIG_CONFLICT,
        f"based on revision {base}, but {current['revision']} is in force;"
        f" publishing yours would change:\n  {lines or '(nothing)'}",
    )


def _live_nodes(
    client: _client.OperatorClient, revision: int
) -> list[typing.Any]:
    try:
        return list(client.get(NODES_PATH)["nodes"])
    except errors.QuetzalwardError as error:
        if error.kind is not errors.ErrorKind.UNAUTHENTICATED:
            raise
        raise errors.QuetzalwardError(
            errors.ErrorKind.OUTCOME_UNKNOWN,
            f"revision {revision} is accepted and names operators without"
            " this token; see `quetzalward node list` with one of theirs",
        ) from error


def wait_in_force(
    client: _client.OperatorClient,
    revision: int,
    timeout_ms: clock.Millis,
    time: clock.Clock,
    sleep: Sleep,
) -> Publication:
    """Wait until every live node has the revision in force, or time is up.

    Raises `QuetzalwardError` of kind `outcome_unknown` if the revision does
    not accept the operator's token, as happens to the bootstrap token.
    """
    deadline_ms = time.now_ms() + timeout_ms
    while True:
        nodes = _live_nodes(client, revision)
        live = [n for n in nodes if n["state"] == "joined"]
        missing = [n["name"] for n in live if n["config_revision"] < revision]
        done = [n["name"] for n in live if n["config_revision"] >= revision]
        _output.progress(f"in force on {len(done)} of {len(live)} nodes")
        if not missing or time.now_ms() >= deadline_ms:
            _output.end_progress()
            return Publication(revision, tuple(done), tuple(missing))
        sleep(POLL_INTERVAL_MS)

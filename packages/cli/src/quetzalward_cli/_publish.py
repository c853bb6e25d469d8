"""Publishes a configuration and waits until the nodes have it in force."""

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
    """The nodes that have an accepted revision in force, and the others.

    The command prints the fields under their own names with `--json`.
    """

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

    Without `base_revision` the document is based on the revision in force.
    If the response is lost, the revision is looked up in the history by
    `publication_id`. Raises `QuetzalwardError`: `config_conflict` with the
    differences; `config_invalid`; `outcome_unknown` if the response is lost
    and the history does not contain the publication.
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
    except _client.ResponseLostError as error:
        return _find_published_revision(client, publication_id, error)
    except errors.QuetzalwardError as error:
        if error.kind is errors.ErrorKind.CONFIG_CONFLICT:
            raise _conflict_error(client, base, document) from error
        raise


def _find_published_revision(
    client: _client.OperatorClient,
    publication_id: str,
    error: _client.ResponseLostError,
) -> int:
    for entry in client.get(HISTORY_PATH)["revisions"]:
        if entry.get("publication_id") == publication_id:
            return int(entry["revision"])
    raise errors.QuetzalwardError(
        errors.ErrorKind.OUTCOME_UNKNOWN,
        f"the answer was lost ({error}) and the history does not show the"
        " publication yet; run `quetzalward config history`",
    )


def _conflict_error(
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


def _fetch_nodes(
    client: _client.OperatorClient, revision: int
) -> list[typing.Any]:
    try:
        return list(client.get(NODES_PATH)["nodes"])
    except errors.QuetzalwardError as error:
        if error.kind is not errors.ErrorKind.UNAUTHENTICATED:
            raise
        raise errors.QuetzalwardError(
            errors.ErrorKind.OUTCOME_UNKNOWN,
            f"revision {revision} is accepted, but none of its operators has"
            " this token; run `quetzalward node list` with the token of one"
            " of its operators",
        ) from error


def wait_in_force(
    client: _client.OperatorClient,
    revision: int,
    timeout_ms: clock.Millis,
    time_source: clock.Clock,
    sleep: Sleep,
) -> Publication:
    """Wait until every joined node has the revision in force, or time out.

    After `timeout_ms`, the nodes that do not have it in force are returned as
    `missing`. Raises `QuetzalwardError` of kind `outcome_unknown` if the
    operator's token is not valid under the revision: the bootstrap token
    is valid only while the configuration in force declares no operators.
    """
    deadline_ms = time_source.now_ms() + timeout_ms
    while True:
        nodes = _fetch_nodes(client, revision)
        joined = [n for n in nodes if n["state"] == "joined"]
        missing = [
            n["name"] for n in joined if n["config_revision"] < revision
        ]
        in_force = [
            n["name"] for n in joined if n["config_revision"] >= revision
        ]
        _output.show_progress(
            f"in force on {len(in_force)} of {len(joined)} nodes"
        )
        if not missing or time_source.now_ms() >= deadline_ms:
            _output.clear_progress()
            return Publication(revision, tuple(in_force), tuple(missing))
        sleep(POLL_INTERVAL_MS)

"""Stop orders, which go to every node directly as well as onto the log."""

import typing

import attrs

from quetzalward_cli import _client
from quetzalward_core import errors


@attrs.frozen
class Delivery:
    """Which nodes confirmed an order, and why the others did not."""

    confirmed: tuple[str, ...]
    failed: tuple[str, ...]
    errors: tuple[str, ...]


def send_to_all(
    client: _client.OperatorClient, path: str, body: typing.Any
) -> Delivery:
    """Send one order to every node; each applies it on first sight."""
    confirmed, failed, causes = [], [], []
    for node in _operator_urls(client):
        try:
            client.request_at(node, "POST", path, body)
            confirmed.append(node)
        except (OSError, _client.LostAnswer, errors.QuetzalwardError) as error:
            failed.append(node)
            causes.append(f"{node}: {error}")
    return Delivery(tuple(confirmed), tuple(failed), tuple(causes))


def _operator_urls(client: _client.OperatorClient) -> list[str]:
    urls = dict.fromkeys(client.nodes)
    try:
        nodes = client.get("/operators/v1/nodes")["nodes"]
    except (errors.QuetzalwardError, _client.LostAnswer):
        return list(urls)
    known = [n["operators_url"] for n in nodes if n["state"] == "joined"]
    return list(dict.fromkeys([*known, *urls])) if not known else known


def require_all(delivery: Delivery, what: str) -> None:
    """Raise `outcome_unknown` naming the nodes that did not confirm."""
    if delivery.failed:
        raise errors.QuetzalwardError(
            errors.ErrorKind.OUTCOME_UNKNOWN,
            f"{what}: not confirmed by " + "; ".join(delivery.errors),
        )

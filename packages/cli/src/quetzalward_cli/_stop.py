"""Sends stop orders, which reach nodes directly as well as through the log."""

import typing

import attrs

from quetzalward_cli import _client
from quetzalward_core import errors


@attrs.frozen
class Delivery:
    """The nodes that confirmed an order, and why the others did not.

    The commands print the fields under their own names with `--json`.
    """

    confirmed: tuple[str, ...]
    failed: tuple[str, ...]
    errors: tuple[str, ...]


def send_to_all_nodes(
    client: _client.OperatorClient, path: str, body: typing.Any
) -> Delivery:
    """Send one order to every node; a node applies it on first receipt.

    Raises `QuetzalwardError` if every node rejects it with the same error
    kind, such as for an unknown name or token.
    """
    confirmed, failed, causes = [], [], []
    rejections: list[errors.QuetzalwardError] = []
    for node_url in _operators_urls(client):
        try:
            client.request_node(node_url, "POST", path, body)
            confirmed.append(node_url)
        except (
            OSError,
            _client.ResponseLostError,
            errors.QuetzalwardError,
        ) as error:
            failed.append(node_url)
            causes.append(f"{node_url}: {error}")
            if isinstance(error, errors.QuetzalwardError):
                rejections.append(error)
    if not confirmed and len(rejections) == len(failed):
        _raise_common_rejection(rejections)
    return Delivery(tuple(confirmed), tuple(failed), tuple(causes))


def _raise_common_rejection(rejections: list[errors.QuetzalwardError]) -> None:
    """Raise the error if all nodes gave the same kind and did not run it."""
    kinds = {error.kind for error in rejections}
    if len(kinds) == 1 and rejections[0].outcome is errors.Outcome.NOT_RUN:
        raise rejections[0]


def _operators_urls(client: _client.OperatorClient) -> list[str]:
    urls = dict.fromkeys(client.node_urls)
    try:
        nodes = client.get("/operators/v1/nodes")["nodes"]
    except (errors.QuetzalwardError, _client.ResponseLostError):
        return list(urls)
    joined = [n["operators_url"] for n in nodes if n["state"] == "joined"]
    return list(dict.fromkeys([*joined, *urls])) if not joined else joined


def require_all_confirmed(delivery: Delivery, effect: str) -> None:
    """Raise `outcome_unknown` with the nodes that did not confirm, if any.

    `effect` says in the error text what the order was to achieve.
    """
    if delivery.failed:
        raise errors.QuetzalwardError(
            errors.ErrorKind.OUTCOME_UNKNOWN,
            f"{effect}: not confirmed by " + "; ".join(delivery.errors),
        )

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
    """Send one order to every node; each applies it on first sight.

    Raises `QuetzalwardError` if every node refuses it for the same reason,
    such as an unknown name or token.
    """
    confirmed, failed, causes = [], [], []
    refusals: list[errors.QuetzalwardError] = []
    for node in _operator_urls(client):
        try:
            client.request_at(node, "POST", path, body)
            confirmed.append(node)
        except (OSError, _client.LostAnswer, errors.QuetzalwardError) as error:
            failed.append(node)
            causes.append(f"{node}: {error}")
            if isinstance(error, errors.QuetzalwardError):
                refusals.append(error)
    if not confirmed and len(refusals) == len(failed):
        _raise_common(refusals)
    return Delivery(tuple(confirmed), tuple(failed), tuple(causes))


def _raise_common(refusals: list[errors.QuetzalwardError]) -> None:
    """Raise the refusal that all nodes gave, if it says "not run"."""
    kinds = {error.kind for error in refusals}
    if len(kinds) == 1 and refusals[0].outcome is errors.Outcome.NOT_RUN:
        raise refusals[0]


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

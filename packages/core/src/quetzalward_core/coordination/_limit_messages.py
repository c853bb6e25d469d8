"""Messages about targets that limit their requests.

They are sent only while a target does. Nodes of an older version do not know
them and ignore them.
"""

import typing

import attrs


@attrs.frozen
class LimitRow:
    """A target's limit in requests a second, and the pool that it serves."""

    target_id: str
    born_ms: int
    service: str
    model: str
    per_s: float


@attrs.frozen
class ObservationRow:
    """What a node's answers said of a target's limit."""

    limit: LimitRow
    # Time since the last answer with the limit; -1 if there was none.
    named_age_ms: int
    # Times since the requests were sent whose answers named none.
    unnamed_ages_ms: tuple[int, ...]


@attrs.frozen
class DemandRow:
    """Requests a second that a node has for a pool."""

    service: str
    model: str
    per_s: float
    # Requests that wait for a permit.
    waiting: int


@attrs.frozen
class LimitReport:
    """Message from a node to the coordinator: what it saw, needs and used."""

    node: str
    term: int
    observations: tuple[ObservationRow, ...]
    demand: tuple[DemandRow, ...]
    # Serials of permits, and how many requests were sent with each.
    used: tuple[tuple[int, int], ...]


@attrs.frozen
class LimitList:
    """Message from the coordinator to every node: all limits."""

    node: str
    term: int
    limits: tuple[LimitRow, ...]


@attrs.frozen
class PermitRow:
    """The right to send a target some requests."""

    serial: int
    target_id: str
    born_ms: int
    age_ms: int
    count: int


@attrs.frozen
class PermitGrant:
    """Message from the coordinator to one node: its new permits."""

    node: str
    term: int
    permits: tuple[PermitRow, ...]


def limit_report(row: list[typing.Any]) -> LimitReport:
    """Return the decoded message."""
    node, term, observations, demand, used = row
    return LimitReport(
        str(node),
        int(term),
        tuple(
            ObservationRow(
                _limit_row(*limit),
                int(named_age_ms),
                tuple(int(age_ms) for age_ms in unnamed_ages_ms),
            )
            for limit, named_age_ms, unnamed_ages_ms in observations
        ),
        tuple(
            DemandRow(str(service), str(model), _rate(per_s), int(waiting))
            for service, model, per_s, waiting in demand
        ),
        tuple((int(serial), int(count)) for serial, count in used),
    )


def limit_list(row: list[typing.Any]) -> LimitList:
    """Return the decoded message."""
    node, term, limits = row
    return LimitList(
        str(node), int(term), tuple(_limit_row(*item) for item in limits)
    )


def permit_grant(row: list[typing.Any]) -> PermitGrant:
    """Return the decoded message."""
    node, term, permits = row
    return PermitGrant(
        str(node),
        int(term),
        tuple(
            PermitRow(
                int(serial),
                str(target_id),
                int(born_ms),
                int(age_ms),
                max(1, int(count)),
            )
            for serial, target_id, born_ms, age_ms, count in permits
        ),
    )


def _limit_row(
    target_id: typing.Any,
    born_ms: typing.Any,
    service: typing.Any,
    model: typing.Any,
    per_s: typing.Any,
) -> LimitRow:
    return LimitRow(
        str(target_id),
        int(born_ms),
        str(service),
        str(model),
        _rate(per_s),
    )


def _rate(value: typing.Any) -> float:
    """Return a rate; raises `ValueError` if it is negative or no number."""
    rate = float(value)
    if not 0 <= rate < float("inf"):
        raise ValueError(f"{value!r} is not a rate")
    return rate

"""Orders for groups, built from the fold."""

import typing

from quetzalward_core import agreement
from quetzalward_core import config
from quetzalward_node.groups import _platform


def build(
    kind: str,
    group: agreement.Group,
    model: config.Model | None,
    number: int,
    writer: str,
) -> _platform.Order:
    """Return an order whose fencing token is its record's position.

    Assign and load orders are authorised by `GroupFormed`, the others by the
    group's last change.
    """
    fencing = group.epoch if kind in ("assign", "load") else group.changed
    return _platform.Order(
        f"{writer}:{group.group}:{group.epoch}:{kind}:{number}",
        fencing,
        kind,
        group.group,
        group.epoch,
        group.model,
        tuple((member.host, member.incarnation) for member in group.hosts),
        model.adapters if model else (),
        model.versions if model else (),
    )


def missing_names(
    model: config.Model | None, loaded: typing.Collection[str]
) -> bool:
    """Tell whether a serving engine lacks declared adapters or versions."""
    if model is None:
        return False
    return not set(model.adapters + model.versions) <= set(loaded)

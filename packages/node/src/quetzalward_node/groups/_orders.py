"""Orders to engines, built from the groups of the fold."""

import typing

from quetzalward_core import agreement
from quetzalward_core import config
from quetzalward_node.groups import _platform


def build(
    kind: str,
    group: agreement.Group,
    model: config.Model | None,
    order_number: int,
    writer: str,
) -> _platform.Order:
    """Return an order; its fencing token is the position of a record.

    That is the record that authorises the order: `GroupFormed` for assign
    and load orders, the group's last change for others.
    """
    fencing = group.epoch if kind in ("assign", "load") else group.changed
    return _platform.Order(
        f"{writer}:{group.group}:{group.epoch}:{kind}:{order_number}",
        fencing,
        kind,
        group.group,
        group.epoch,
        group.model,
        tuple((member.host, member.incarnation) for member in group.hosts),
        model.adapters if model else (),
        model.versions if model else (),
    )


def lacks_declared_names(
    model: config.Model | None, loaded: typing.Collection[str]
) -> bool:
    """Return whether declared adapters or versions are not loaded."""
    if model is None:
        return False
    return not set(model.adapters + model.versions) <= set(loaded)

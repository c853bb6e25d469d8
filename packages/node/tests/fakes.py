"""Fakes of the interfaces between dispatch, targets and other tasks."""

import typing

import attrs

from quetzalward_core import config
from quetzalward_core import limits
from quetzalward_core import routing
from quetzalward_node import interfaces

ZONES = ("z1", "z2", "z3")


def make_control(
    groups: typing.Iterable[routing.GroupView], **fields: typing.Any
) -> interfaces.ControlView:
    """Return a view with one region, one model and two customers."""
    defaults: dict[str, typing.Any] = {
        "position": 1,
        "configuration": config.Configuration(
            zones={zone: config.Zone("r1") for zone in ZONES},
            models={"m": config.Model(2, 3, adapters=("m-tuned",))},
            customers={
                "small": config.Customer(()),
                "large": config.Customer((), weight=2.0, priority=1),
            },
        ),
        "zones_out": frozenset(),
        "nodes": {"n1": "z1"},
        "isolated": False,
        "ownership_current": True,
    }
    return interfaces.ControlView(
        groups={group.group_id: group for group in groups},
        **(defaults | fields),
    )


class ControlSource:
    """A control source whose view is set by the test."""

    def __init__(self, view: interfaces.ControlView) -> None:
        """Start with a view; `next_views` holds views for the next reads."""
        self.current = view
        self.next_views: list[interfaces.ControlView] = []

    def view(self) -> interfaces.ControlView:
        """Return the current view."""
        if self.next_views:
            self.current = self.next_views.pop(0)
        return self.current

    def set(self, **fields: typing.Any) -> None:
        """Replace the view by a changed one."""
        self.current = attrs.evolve(self.current, **fields)


class DemandExchange:
    """A demand exchange that records the published demands."""

    def __init__(self) -> None:
        """Start without demand."""
        self.published: typing.Mapping[str, limits.Demand] = {}
        self.received: dict[str, dict[str, limits.Demand]] = {}

    def publish(self, demands: typing.Mapping[str, limits.Demand]) -> None:
        """Record the published demand."""
        self.published = demands

    def demands_by_node(self) -> dict[str, dict[str, limits.Demand]]:
        """Return the demands set by the test."""
        return self.received


def make_request(number: int, **fields: typing.Any) -> interfaces.RouteRequest:
    """Return a draft request of the small customer."""
    defaults: dict[str, typing.Any] = {
        "customer": "small",
        "model": "m",
        "prompt": "hello " * 100,
        "priority": 0,
        "max_tokens": 100,
        "arrived_ms": 0,
        "deadline_ms": 1_000_000,
    }
    return interfaces.RouteRequest(f"r{number}", **(defaults | fields))

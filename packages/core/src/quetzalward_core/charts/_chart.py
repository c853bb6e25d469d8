"""Interpreter of the JSON state charts in this package.

A chart lists its states. Each state maps the events that it accepts to the
next state; a state without events is final.
"""

import functools
import importlib.resources
import json
import typing

import attrs

from quetzalward_core import errors


@attrs.frozen
class Chart:
    """A state chart: a named table of states, events and next states."""

    name: str
    initial: str
    next_by_event_by_state: dict[str, dict[str, str]]

    @property
    def states(self) -> frozenset[str]:
        """Return the names of all states."""
        return frozenset(self.next_by_event_by_state)

    def events(self, state: str) -> frozenset[str]:
        """Return the events that a state accepts."""
        return frozenset(self.next_by_event_by_state.get(state, {}))

    def accepts(self, state: str, event: str) -> bool:
        """Tell whether a state accepts an event."""
        return event in self.next_by_event_by_state.get(state, {})

    def step(self, state: str, event: str) -> str:
        """Return the state after an event.

        Raises `UnknownEventError` if the state does not accept the event.
        """
        next_state = self.next_by_event_by_state.get(state, {}).get(event)
        if next_state is None:
            raise errors.UnknownEventError(self.name, state, event)
        return next_state


def parse_chart(document: dict[str, typing.Any]) -> Chart:
    """Build a chart from its JSON document.

    Raises `ValueError` if the initial state or the next state of an event
    is not defined.
    """
    chart = Chart(document["name"], document["initial"], document["states"])
    referenced = {chart.initial}
    for next_by_event in chart.next_by_event_by_state.values():
        referenced |= set(next_by_event.values())
    undefined = referenced - chart.states
    if undefined:
        raise ValueError(
            f"chart {chart.name}: undefined states {sorted(undefined)}"
        )
    return chart


@functools.cache
def load_chart(name: str) -> Chart:
    """Return the chart stored as `NAME.json` in this package.

    The charts are `group`, `node`, `serving_group`, `target` and `zone`.
    """
    folder = importlib.resources.files("quetzalward_core.charts")
    return parse_chart(json.loads((folder / f"{name}.json").read_text()))

"""Interpreter of the JSON state charts in this folder.

A chart lists its states; each state maps every event it accepts to the next
state. A state without events is final.
"""

import functools
import importlib.resources
import json
import typing

import attrs

from quetzalward_core import errors


@attrs.frozen
class Chart:
    """A state chart: states, their events, and the next state of each."""

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
        """Tell whether a state lists an event."""
        return event in self.next_by_event_by_state.get(state, {})

    def step(self, state: str, event: str) -> str:
        """Return the state after an event.

        Raises `UnknownEventError` if the state does not list the event.
        """
        following = self.next_by_event_by_state.get(state, {}).get(event)
        if following is None:
            raise errors.UnknownEventError(self.name, state, event)
        return following


def parse_chart(document: dict[str, typing.Any]) -> Chart:
    """Build a chart from its JSON document.

    Raises `ValueError` if a transition names a state that is not listed.
    """
    chart = Chart(document["name"], document["initial"], document["states"])
    reached = {chart.initial}
    for next_by_event in chart.next_by_event_by_state.values():
        reached |= set(next_by_event.values())
    missing = reached - chart.states
    if missing:
        raise ValueError(f"chart {chart.name}: no state {sorted(missing)}")
    return chart


@functools.cache
def load_chart(name: str) -> Chart:
    """Return the chart `group`, `target`, `node` or `zone`."""
    folder = importlib.resources.files("quetzalward_core.charts")
    return parse_chart(json.loads((folder / f"{name}.json").read_text()))

"""Interfaces to the platform that the group manager uses."""

import typing

import attrs

from quetzalward_core import clock


@attrs.frozen
class ListedHost:
    """A host in the platform's host list."""

    host: str
    zone: str
    domain: str
    incarnation: int
    state: str
    engine_url: str


@attrs.frozen
class HostListing:
    """The host list as of a time of this node's monotonic clock."""

    as_of_ms: clock.Millis
    hosts_by_name: typing.Mapping[str, ListedHost]


class HostSource(typing.Protocol):
    """Provides the newest host list that this node has."""

    def listing(self) -> HostListing | None:
        """Return the newest list, or `None` before the first one."""


@attrs.frozen
class EngineReport:
    """The parts of an engine's report that the group manager uses."""

    target: str
    epoch: int
    # Incarnation by name of the hosts that are present.
    hosts: typing.Mapping[str, int]
    state: str
    models: tuple[str, ...] = ()
    running: int = 0
    waiting: int = 0
    age_ms: clock.Millis = 0


@attrs.frozen
class Order:
    """An order to an engine.

    `fencing` is the position of the record that authorises the order.
    """

    order_id: str
    fencing: int
    kind: str
    group: str
    epoch: int
    model: str
    hosts: tuple[tuple[str, int], ...] = ()
    adapters: tuple[str, ...] = ()
    versions: tuple[str, ...] = ()


@attrs.frozen
class OrderAnswer:
    """An engine's response; status 0 means that none was received."""

    status: int
    error: str = ""
    # Host that caused the error, if the engine names one.
    host: str = ""

    @property
    def accepted(self) -> bool:
        """Return whether the engine accepted the order."""
        return 200 <= self.status < 300


class EngineClient(typing.Protocol):
    """Sends requests to engines; each returns within about two seconds."""

    def report(self, engine_url: str) -> EngineReport | None:
        """Return an engine's report, or `None` if none was received."""

    def order(self, engine_url: str, order: Order) -> OrderAnswer:
        """Send an order, without retries."""


class Workers(typing.Protocol):
    """Runs calls that block on the network."""

    def submit(self, call: typing.Callable[[], None]) -> None:
        """Run a call on another thread, or synchronously."""

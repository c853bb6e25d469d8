"""What the group manager needs of the platform."""

import typing

import attrs

from quetzalward_core import clock


@attrs.frozen
class ListedHost:
    """A row of the platform's host list."""

    host: str
    zone: str
    domain: str
    incarnation: int
    state: str
    engine_url: str


@attrs.frozen
class HostListing:
    """The host list; `as_of_ms` is monotonic time of this node's clock."""

    as_of_ms: clock.Millis
    hosts_by_name: typing.Mapping[str, ListedHost]


class HostSource(typing.Protocol):
    """The newest host list that this node has."""

    def listing(self) -> HostListing | None:
        """Return the newest list, or `None` before the first one."""


@attrs.frozen
class EngineReport:
    """The parts of an engine's report that the group manager uses."""

    target: str
    epoch: int
    # Incarnation by host, of the hosts that are present.
    hosts: typing.Mapping[str, int]
    state: str
    models: tuple[str, ...] = ()
    running: int = 0
    waiting: int = 0
    age_ms: clock.Millis = 0


@attrs.frozen
class Order:
    """An order to an engine; `fencing` is the position of its record."""

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
    """An engine's answer; status 0 means that none arrived."""

    status: int
    error: str = ""
    # The host that the engine blames, if it names one.
    host: str = ""

    @property
    def accepted(self) -> bool:
        """Tell whether the engine took the order."""
        return 200 <= self.status < 300


class EngineClient(typing.Protocol):
    """Requests to engines; both calls end within about two seconds."""

    def report(self, engine_url: str) -> EngineReport | None:
        """Return an engine's report, or `None` if none arrived."""

    def order(self, engine_url: str, order: Order) -> OrderAnswer:
        """Send an order once."""


class Workers(typing.Protocol):
    """Runs calls that wait for the network."""

    def submit(self, call: typing.Callable[[], None]) -> None:
        """Run a call soon, on another thread or at once."""

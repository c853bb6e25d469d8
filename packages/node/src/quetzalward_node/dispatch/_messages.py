"""Messages to the dispatch task, and slots for its replies."""

import threading
import typing

import attrs

from quetzalward_node import interfaces

Value = typing.TypeVar("Value")


class ReplySlot(typing.Generic[Value]):
    """Hands one value from the task to one waiting request thread.

    A value is delivered at most once, and never after the waiter timed out,
    so that no grant is lost to a thread that stopped waiting.
    """

    def __init__(self) -> None:
        """Create an open slot without a value."""
        self._lock = threading.Lock()
        self._ready = threading.Event()
        self._closed = False
        self._value: Value | None = None

    def offer(self, value: Value) -> bool:
        """Set the value; false if the waiter timed out or has one already."""
        with self._lock:
            if self._closed:
                return False
            self._closed = True
            self._value = value
        self._ready.set()
        return True

    def wait(self, timeout_s: float) -> Value | None:
        """Return the value, or close the slot and return `None`."""
        self._ready.wait(timeout_s)
        with self._lock:
            self._closed = True
            return self._value


@attrs.frozen(eq=False)
class Acquire:
    """A request thread requests a grant for a draft."""

    ticket: int
    request: interfaces.RouteRequest
    reply: ReplySlot[typing.Any]


@attrs.frozen
class Withdraw:
    """A request thread stopped waiting for its grant."""

    ticket: int


@attrs.frozen
class Release:
    """An attempt of a draft ended."""

    grant: interfaces.Grant
    report: interfaces.AttemptReport


@attrs.frozen
class Finish:
    """A draft ended."""

    request_id: str


@attrs.frozen(eq=False)
class MayRetry:
    """A request thread asks to spend one retry from the budget."""

    reply: ReplySlot[typing.Any]


@attrs.frozen(eq=False)
class ChooseService:
    """A request thread requests a replica of a service."""

    call: interfaces.ServiceCall
    reply: ReplySlot[typing.Any]


@attrs.frozen
class ReleaseService:
    """A call to a service ended."""

    grant: interfaces.Grant
    report: interfaces.AttemptReport


@attrs.frozen(eq=False)
class HedgeAfter:
    """A request thread asks for the hedging delay of a call."""

    service: str
    repeatable: bool
    reply: ReplySlot[typing.Any]


@attrs.frozen
class TargetsRead:
    """The targets task published a new view."""

    view: interfaces.TargetsView
    events: tuple[interfaces.CacheEvent, ...]


@attrs.frozen
class TargetDoubted:
    """Another node has evidence that a target may have become cold."""

    target_id: str


@attrs.frozen
class StopAdmission:
    """The node is shutting down; new drafts are rejected from now on."""


@attrs.frozen
class StopTask:
    """Ends the dispatch task."""


Message = (
    Acquire
    | Withdraw
    | Release
    | Finish
    | MayRetry
    | ChooseService
    | ReleaseService
    | HedgeAfter
    | TargetsRead
    | TargetDoubted
    | StopAdmission
    | StopTask
)

"""Messages to the dispatch task and the slots for its replies."""

import threading
import typing

import attrs

from quetzalward_node import interfaces

Value = typing.TypeVar("Value")


class ReplySlot(typing.Generic[Value]):
    """Hands one value from the task to one waiting request thread.

    Either the task's offer or the waiter's close wins, so that a grant never
    goes to a thread that has given up.
    """

    def __init__(self) -> None:
        """Start open and empty."""
        self._lock = threading.Lock()
        self._ready = threading.Event()
        self._closed = False
        self._value: Value | None = None

    def offer(self, value: Value) -> bool:
        """Set the value; false if the waiter gave up or has one already."""
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
    """A request thread wants a grant for a draft."""

    ticket: int
    request: interfaces.RouteRequest
    reply: ReplySlot[typing.Any]


@attrs.frozen
class Withdraw:
    """A request thread gave up waiting."""

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
    """A request thread wants to spend a retry."""

    reply: ReplySlot[typing.Any]


@attrs.frozen(eq=False)
class ChooseService:
    """A request thread wants a replica of a service."""

    call: interfaces.ServiceCall
    reply: ReplySlot[typing.Any]


@attrs.frozen
class ReleaseService:
    """A call to a service ended."""

    grant: interfaces.Grant
    report: interfaces.AttemptReport


@attrs.frozen(eq=False)
class HedgeAfter:
    """A request thread asks when to hedge a call."""

    service: str
    repeatable: bool
    reply: ReplySlot[typing.Any]


@attrs.frozen
class TargetsRead:
    """The targets task has a new view."""

    view: interfaces.TargetsView
    events: tuple[interfaces.CacheEvent, ...]


@attrs.frozen
class TargetDoubted:
    """Another node has evidence that a target may have turned cold."""

    target_id: str


@attrs.frozen
class StopAdmission:
    """The node is stopping and takes no new work."""


@attrs.frozen
class StopTask:
    """The task ends."""


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

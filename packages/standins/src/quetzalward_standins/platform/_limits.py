"""Request limits that targets name in their answers, and what they get."""

import time

import attrs

HEADER = "Server-Limit"
# Bounds that the platform states: from this time after a target first named
# its limit, it may get in any window so many times what the limit allows, and
# some requests more.
CONTACT_S = 3.0
WINDOW_S = 4.0
OVERAGE = 1.5
SLACK = 5


@attrs.define
class Period:
    """The time in which a target names one limit."""

    target_id: str
    per_s: float
    # When the first answer named the limit, `None` if none has.
    named_s: float | None = None
    end_s: float | None = None
    # When requests arrived since.
    arrivals_s: list[float] = attrs.field(factory=list)

    @property
    def allowed(self) -> float:
        """Return how many requests the target may get in a window."""
        return OVERAGE * WINDOW_S * self.per_s + SLACK

    def count(self, since_s: float, until_s: float) -> int:
        """Return the number of requests that arrived between two times."""
        return sum(since_s <= at_s < until_s for at_s in self.arrivals_s)

    def excess(self) -> str | None:
        """Return how the limit was exceeded, `None` if it was not."""
        if self.named_s is None:
            return None
        begin_s = self.named_s + CONTACT_S
        most = max(
            (
                self.count(at_s, at_s + WINDOW_S)
                for at_s in self.arrivals_s
                if at_s >= begin_s
            ),
            default=0,
        )
        if most <= self.allowed:
            return None
        return (
            f"{self.target_id}: {most} requests in {WINDOW_S} s under a limit "
            f"of {self.per_s} a second; {self.allowed:.1f} are allowed"
        )


class NamedLimits:
    """The limits that targets name, one after the other."""

    def __init__(self) -> None:
        """Start without limits."""
        self.periods: list[Period] = []
        self._current_by_target: dict[str, Period] = {}

    def name(self, target_id: str, per_s: float) -> Period:
        """Let a target name a limit from now on."""
        self.end(target_id)
        period = Period(target_id, per_s)
        self.periods.append(period)
        self._current_by_target[target_id] = period
        return period

    def end(self, target_id: str) -> None:
        """Let a target name no limit."""
        period = self._current_by_target.pop(target_id, None)
        if period is not None:
            period.end_s = time.monotonic()

    def record_arrival(self, target_id: str) -> None:
        """Count a request at a target."""
        period = self._current_by_target.get(target_id)
        if period is not None and period.named_s is not None:
            period.arrivals_s.append(time.monotonic())

    def headers(self, target_id: str) -> dict[str, str]:
        """Return the headers that an answer of a target names its limit in."""
        period = self._current_by_target.get(target_id)
        if period is None:
            return {}
        if period.named_s is None:
            period.named_s = time.monotonic()
        return {HEADER: f"{period.per_s:g}"}

    def check(self) -> list[str]:
        """Return each limit that was exceeded."""
        found = [period.excess() for period in self.periods]
        return [text for text in found if text is not None]

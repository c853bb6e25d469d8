"""What became of one send to a target."""

import enum

import attrs

from quetzalward_gateway import _ports

# Within a region a connection is made in a few milliseconds; a lost packet
# costs more than trying the next target.
CONNECT_TIMEOUT_MS = 300
# The target's own answer at its deadline takes a moment to arrive.
DEADLINE_GRACE_MS = 60


class Result(enum.Enum):
    """Outcomes of a send."""

    # Passed on whole.
    COMPLETE = "complete"
    # A whole answer that is still to be passed on.
    ANSWERED = "answered"
    # The target's own failure, passed on if nothing better follows.
    FAILED = "failed"
    # The target proved that it did not run the request.
    NOT_RUN = "not_run"
    UNREACHABLE = "unreachable"
    # From here on the request may have run.
    BROKEN = "broken"
    SLOW = "slow"
    STALLED = "stalled"
    TIMEOUT = "timeout"
    # The events of the runs do not follow each other.
    GAP = "gap"


@attrs.frozen
class Attempt:
    """One send and what came back."""

    result: Result
    reason: str = ""
    head: _ports.TargetAnswer | None = None
    body: bytes = b""
    target_id: str = ""


def check_head(
    request: _ports.CallerRequest, answer: _ports.TargetAnswer
) -> Attempt | None:
    """Return why an answer may not be passed on, `None` if it may."""
    if answer.attempt_id not in (None, request.attempt_id):
        return Attempt(Result.BROKEN, "the answer to another request")
    if answer.not_executed or answer.status == 421:
        return Attempt(Result.NOT_RUN, f"refused with {answer.status}", answer)
    if not answer.sealed or answer.encoded:
        return Attempt(Result.BROKEN, "an answer that proves no origin")
    return None

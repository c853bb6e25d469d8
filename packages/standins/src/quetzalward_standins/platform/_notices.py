"""Targets that say that they leave or rest, and what reaches them then.

A machine is a gateway node, by a name that the test gives it. Requests do not
name it: who sent each attempt is known to the callers only.
"""

import time
import typing

import attrs

LEAVING_HEADER = "Server-Leaving"
REST_HEADER = "Retry-After"
# Bounds that the platform states. A request that its caller sent later than
# `DRAIN_S` after a machine received the notice must not reach the target from
# that machine; more than `REST_REQUESTS` must not between `REST_SLACK_S` after
# a refusal and the end of its time.
DRAIN_S = 2.0
REST_SLACK_S = 0.5
REST_REQUESTS = 2
# A refusal is recorded before it is sent, and requests when they are read.
RECORDING_TOLERANCE_S = 0.25


@attrs.frozen
class Sender:
    """The machine that took a request from its caller, and when."""

    machine: str
    sent_s: float


@attrs.frozen
class Outage:
    """A restart, freeze or cut of a machine."""

    machine: str
    begin_s: float
    end_s: float
    # A machine that is cut off is still bound by what it knows.
    is_cut: bool = False


@attrs.frozen
class Arrival:
    """A request at a target."""

    attempt_id: str
    at_s: float


@attrs.frozen
class Answer:
    """An answer with a notice."""

    attempt_id: str
    at_s: float
    # Time for which the target asks for no requests.
    rest_s: float | None = None


@attrs.define
class Life:
    """What one life of a target said, and which requests reached it."""

    target_id: str
    is_leaving: bool = False
    rest_end_s: float = 0.0
    arrivals: list[Arrival] = attrs.field(factory=list)
    leaving_answers: list[Answer] = attrs.field(factory=list)
    rest_answers: list[Answer] = attrs.field(factory=list)


class TargetNotices:
    """The notices of all targets."""

    def __init__(self) -> None:
        """Start without notices."""
        self.lives: list[Life] = []
        self._life_by_target: dict[str, Life] = {}

    def _life(self, target_id: str) -> Life:
        life = self._life_by_target.get(target_id)
        if life is None:
            life = self._life_by_target[target_id] = Life(target_id)
            self.lives.append(life)
        return life

    def leave(self, target_id: str) -> Life:
        """Let a target say from now on that it leaves."""
        life = self._life(target_id)
        life.is_leaving = True
        return life

    def rest(self, target_id: str, seconds: float) -> Life:
        """Let a target turn requests away for a time."""
        life = self._life(target_id)
        life.rest_end_s = time.monotonic() + seconds
        return life

    def end(self, target_id: str) -> None:
        """End a target's life."""
        self._life_by_target.pop(target_id, None)

    def record_arrival(self, target_id: str, attempt_id: str) -> None:
        """Record a request at a target that has said something."""
        life = self._life_by_target.get(target_id)
        if life is not None:
            life.arrivals.append(Arrival(attempt_id, time.monotonic()))

    def headers(self, target_id: str, attempt_id: str) -> dict[str, str]:
        """Return the headers of an answer; none if there is no notice."""
        life = self._life_by_target.get(target_id)
        if life is None or not life.is_leaving:
            return {}
        life.leaving_answers.append(Answer(attempt_id, time.monotonic()))
        return {LEAVING_HEADER: "1"}

    def rest_headers(
        self, target_id: str, attempt_id: str
    ) -> dict[str, str] | None:
        """Return the headers of a refusal, `None` if the target serves."""
        life = self._life_by_target.get(target_id)
        now_s = time.monotonic()
        if life is None or now_s >= life.rest_end_s:
            return None
        left_s = round(life.rest_end_s - now_s, 3)
        life.rest_answers.append(Answer(attempt_id, now_s, left_s))
        return {REST_HEADER: f"{left_s:.3f}"}

    def check(
        self,
        sender_by_attempt: typing.Mapping[str, Sender],
        outages: typing.Sequence[Outage],
    ) -> list[str]:
        """Return each violation of the platform's two rules."""
        broken = []
        for life in self.lives:
            broken += _late_requests(life, sender_by_attempt, outages)
            broken += _requests_at_rest(life, sender_by_attempt, outages)
        return broken


def _is_excused(
    outages: typing.Iterable[Outage],
    machine: str,
    since_s: float,
    until_s: float,
    do_cuts_excuse: bool,
) -> bool:
    return any(
        outage.machine == machine
        and outage.begin_s <= until_s
        and outage.end_s >= since_s
        and (do_cuts_excuse or not outage.is_cut)
        for outage in outages
    )


def _late_requests(
    life: Life,
    sender_by_attempt: typing.Mapping[str, Sender],
    outages: typing.Sequence[Outage],
) -> list[str]:
    """Return the requests that came too late after a notice of leaving."""
    told_s_by_machine: dict[str, float] = {}
    # A restart takes the knowledge of all answers before it, so that the last
    # one counts that a request still came too late for.
    broken = []
    events = [(a.at_s, 0, a.attempt_id) for a in life.leaving_answers]
    events += [(a.at_s, 1, a.attempt_id) for a in life.arrivals]
    for at_s, is_arrival, attempt_id in sorted(events):
        sender = sender_by_attempt.get(attempt_id)
        if sender is None:
            continue
        told_s = told_s_by_machine.get(sender.machine)
        if told_s is not None and _is_excused(
            outages, sender.machine, told_s, at_s, do_cuts_excuse=False
        ):
            told_s = None
            del told_s_by_machine[sender.machine]
        if not is_arrival:
            told_s_by_machine.setdefault(sender.machine, at_s)
        elif (
            told_s is not None
            and sender.sent_s > told_s + DRAIN_S + RECORDING_TOLERANCE_S
        ):
            broken.append(
                f"{attempt_id}: reached {life.target_id} from "
                f"{sender.machine}, sent {sender.sent_s - told_s:.2f} s after "
                "its answer that it leaves"
            )
    return broken


def _requests_at_rest(
    life: Life,
    sender_by_attempt: typing.Mapping[str, Sender],
    outages: typing.Sequence[Outage],
) -> list[str]:
    """Return the refusals after which too many requests came."""
    broken = []
    for answer in life.rest_answers:
        refused = sender_by_attempt.get(answer.attempt_id)
        if refused is None or answer.rest_s is None:
            continue
        begin_s = answer.at_s + REST_SLACK_S
        end_s = answer.at_s + answer.rest_s
        machine = refused.machine
        arrivals = [
            arrival
            for arrival in life.arrivals
            if begin_s < arrival.at_s < end_s
            and arrival.attempt_id in sender_by_attempt
            and sender_by_attempt[arrival.attempt_id].machine == machine
        ]
        if len(arrivals) > REST_REQUESTS and not _is_excused(
            outages, machine, answer.at_s, end_s, do_cuts_excuse=True
        ):
            broken.append(
                f"{life.target_id}: {len(arrivals)} requests from {machine} "
                f"within {answer.rest_s:.2f} s for which it asked for rest"
            )
    return broken

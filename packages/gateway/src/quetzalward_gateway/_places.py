"""Where an attempt at a stream is sent, and what is recorded there."""

import typing

import attrs

from quetzalward_core import clock
from quetzalward_core import coordination
from quetzalward_core import fleet
from quetzalward_core import limits
from quetzalward_core import placing
from quetzalward_gateway import _admission
from quetzalward_gateway import _attempts
from quetzalward_gateway import _runtime
from quetzalward_gateway import _state


class StreamPlace(typing.Protocol):
    """A serving group, or a target outside groups, that gets a stream."""

    @property
    def target(self) -> fleet.Target:
        """Return the target that receives the request."""

    @property
    def pool(self) -> limits.PoolKey:
        """Return the pool of targets that the place belongs to."""

    @property
    def load(self) -> placing.GroupLoad:
        """Return the load and the liveness of the place."""

    @property
    def incarnation(self) -> str:
        """Return the name of this life of the target in reports."""

    def pass_ms(self, active: float) -> float:
        """Return the expected pause between events of `active` streams."""

    def longest_pass_ms(self) -> float:
        """Return the expected pause between events at full load."""

    def started(self) -> None:
        """Record that an attempt has begun."""

    def ended(
        self,
        attempt: _attempts.Attempt | None,
        latency_ms: clock.Millis,
        now_ms: clock.Millis,
    ) -> None:
        """Record that an attempt has ended; `None`: its caller left.

        `latency_ms` is the time to its end: that to its first event is so
        short that it says more of chance than of the target's load.
        """

    def mark_unreachable(self, now_ms: clock.Millis) -> None:
        """Record that a connection to the target failed."""

    def identity(self) -> dict[str, object]:
        """Return the fields that name the place in the log."""

    def prediction(self) -> dict[str, object]:
        """Return the logged fields on which the choice was based."""


class Placer(typing.Protocol):
    """Chooses the places of one stream's attempts."""

    @property
    def pool(self) -> limits.PoolKey:
        """Return the pool of targets that may serve the stream."""

    def choose(self) -> StreamPlace | placing.Refusal:
        """Return a place that was not chosen before, or why there is none."""

    def forget_chosen(self) -> None:
        """Let places be chosen again."""


@attrs.frozen
class GroupPlace:
    """A group that serves a model."""

    _node: _state.NodeState
    _placement: _state.StreamPlacement

    @property
    def target(self) -> fleet.Target:
        """Return the group's head."""
        return self._placement.group.head

    @property
    def pool(self) -> limits.PoolKey:
        """Return the pool of the groups of the model."""
        return self._placement.pool

    @property
    def load(self) -> placing.GroupLoad:
        """Return the group's load, which the nodes report to each other."""
        return self._node.load_of(self._placement.group.key)

    @property
    def incarnation(self) -> str:
        """Return the head and the group's epoch."""
        return f"{self.target.id}/{self._placement.group.entry.epoch}"

    def pass_ms(self, active: float) -> float:
        """Return the time of a pass of the engine."""
        place = self._placement
        return placing.pass_ms(place.engine, place.model, active)

    def longest_pass_ms(self) -> float:
        """Return the time of a pass with all slots in use."""
        return self.pass_ms(self._placement.engine.slots)

    def started(self) -> None:
        """The group's load has been counted already."""

    def ended(
        self,
        attempt: _attempts.Attempt | None,
        latency_ms: clock.Millis,
        now_ms: clock.Millis,
    ) -> None:
        """The group's load and liveness say enough."""

    def mark_unreachable(self, now_ms: clock.Millis) -> None:
        """Suspect the group, and have its head asked for a report."""
        self.load.suspect(now_ms)
        self._node.suspects.add(self.target.id)

    def identity(self) -> dict[str, object]:
        """Return the group, its epoch and its head."""
        entry = self._placement.group.entry
        _, name = coordination.split_group_label(entry.name)
        return {
            "target": self.target.id,
            "group": name,
            "epoch": entry.epoch,
        }

    def prediction(self) -> dict[str, object]:
        """Return the expected time and the load that it is based on."""
        place = self._placement
        return {
            "predicted_ms": round(place.first_event_ms),
            "load": round(place.load, 1),
            "load_age_ms": place.load_age_ms,
            "limited_groups": place.limited_groups,
        }


@attrs.frozen
class TargetPlace:
    """A target of a service without groups."""

    _node: _state.NodeState
    target: fleet.Target
    pool: limits.PoolKey
    # Streams at such a target say nothing of each other.
    load: placing.GroupLoad = attrs.field(factory=placing.GroupLoad)

    @property
    def incarnation(self) -> str:
        """Return the target and its start."""
        return self.target.incarnation

    def pass_ms(self, active: float) -> float:
        """Return the usual latency; nothing is known of pauses."""
        return self._node.outcomes.latency_ms(self.target.id)

    def longest_pass_ms(self) -> float:
        """Return the usual latency."""
        return self.pass_ms(1.0)

    def started(self) -> None:
        """Count the request as in flight."""
        self._node.outcomes.started(self.target.id)

    def ended(
        self,
        attempt: _attempts.Attempt | None,
        latency_ms: clock.Millis,
        now_ms: clock.Millis,
    ) -> None:
        """Record whether the target served the request."""
        self._node.outcomes.ended(self.target.id)
        if attempt is None or attempt.result in (
            _attempts.Result.SUPERSEDED,
            _attempts.Result.UNREACHABLE,
        ):
            return
        is_served = attempt.result is _attempts.Result.COMPLETE
        self._node.observe_outcome(
            self.target.id, is_served, latency_ms, now_ms
        )

    def mark_unreachable(self, now_ms: clock.Millis) -> None:
        """Choose other targets for a while."""
        self._node.outcomes.mark_unreachable(self.target.id, now_ms)

    def identity(self) -> dict[str, object]:
        """Return the target."""
        return {"target": self.target.id}

    def prediction(self) -> dict[str, object]:
        """Return the usual latency."""
        return {"predicted_ms": round(self.pass_ms(1.0))}


class GroupPlacer:
    """Chooses among the open groups of a model."""

    def __init__(self, call: _runtime.Call) -> None:
        """Start without groups that were chosen."""
        self._call = call
        self._state = call.runtime.state
        self._chosen: set[_state.GroupKey] = set()
        self.pool = _admission.pool_of(call.service, call.request.model or "")

    def choose(self) -> StreamPlace | placing.Refusal:
        """Return a group with room for the stream."""
        placement = self._state.place_stream(
            self._call.service,
            self._call.request,
            self._call.remaining_ms(),
            self._chosen,
            self._call.runtime.now_ms(),
        )
        if isinstance(placement, placing.Refusal):
            return placement
        self._chosen.add(placement.group.key)
        return GroupPlace(self._state, placement)

    def forget_chosen(self) -> None:
        """Let groups be chosen again."""
        self._chosen.clear()


class TargetPlacer:
    """Chooses among the targets of a service without groups."""

    def __init__(self, call: _runtime.Call) -> None:
        """Start without targets that were chosen."""
        self._call = call
        self._state = call.runtime.state
        self._chosen: set[str] = set()
        self.pool = _admission.pool_of(call.service)

    def choose(self) -> StreamPlace | placing.Refusal:
        """Return a target that takes requests."""
        target = self._state.place_plain(
            self._call.service, self._chosen, self._call.runtime.now_ms()
        )
        if isinstance(target, placing.Refusal):
            return target
        self._chosen.add(target.id)
        return TargetPlace(self._state, target, self.pool)

    def forget_chosen(self) -> None:
        """Let targets be chosen again."""
        self._chosen.clear()


def placer_of(call: _runtime.Call) -> Placer:
    """Return what chooses the places of a stream's attempts."""
    if call.service.engine is None:
        return TargetPlacer(call)
    return GroupPlacer(call)

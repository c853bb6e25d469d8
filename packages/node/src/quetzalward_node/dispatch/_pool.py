"""The targets that this node may use, and the choice among them."""

import random
import typing

from quetzalward_core import clock
from quetzalward_core import coldstart
from quetzalward_core import config
from quetzalward_core import routing
from quetzalward_node.dispatch import _records
from quetzalward_node import interfaces

# Requests waiting at a target that names no capacity before it counts as full.
MAX_WAITING = 4
# Requests above a warm target's capacity, as a share of it, before it counts
# as full. Reports are up to 2 s old; without a short queue at the target,
# places that became free since stay empty until the next report.
QUEUE_SHARE = 0.25
_SMOOTHING = 0.1


class TargetPool:
    """Decides which target gets a request; holds no queue."""

    def __init__(
        self,
        node: str,
        zone: str,
        control: interfaces.ControlView,
        rng: random.Random,
        now_ms: clock.Millis,
    ) -> None:
        """Start with a control view and no target reports."""
        self._zone = zone
        self._rng = rng
        self._control = control
        self._applied = False
        self._view = interfaces.TargetsView()
        self._targets: dict[str, _records.Target] = {}
        self._doubts: set[str] = set()
        self._models: dict[str, _records.Model] = {}
        self._presence_by_target: dict[str, _records.KnownPresence] = {}
        settings = control.configuration
        self._slots = coldstart.SlotTable(
            node,
            settings.engines.default_bearable,
            settings.limits.request_timeout_ms,
        )
        self.apply_control(control, now_ms)

    def apply_control(
        self, control: interfaces.ControlView, now_ms: clock.Millis
    ) -> None:
        """Take a control view; also called unchanged, as a heartbeat."""
        if control is self._control and self._applied:
            self._slots.heartbeat(now_ms)
            return
        if control.configuration != self._control.configuration:
            self._configure(control.configuration)
        self._applied = True
        self._control = control
        self._slots.update(control.nodes, control.groups, now_ms)
        for target_id in set(self._targets) - set(control.groups):
            if not self._targets[target_id].tracker.in_flight:
                del self._targets[target_id]
        for target_id in set(self._presence_by_target) - set(control.groups):
            del self._presence_by_target[target_id]

    def _configure(self, settings: config.Configuration) -> None:
        """Apply a changed configuration to what was made under the old."""
        self._slots.configure(
            settings.engines.default_bearable,
            settings.limits.request_timeout_ms,
        )
        for model in self._models.values():
            model.ejector.configure(
                settings.routing.ejection_ratio,
                settings.routing.max_ejected_fraction,
            )

    def apply_targets(
        self,
        view: interfaces.TargetsView,
        events: typing.Iterable[interfaces.CacheEvent],
        now_ms: clock.Millis,
    ) -> None:
        """Take new reports and cache events."""
        old = self._view.reports
        self._view = view
        for target_id, report in view.reports.items():
            if old.get(target_id) is not report:
                self._apply_report(report, now_ms)
        for event in events:
            target = self._targets.get(event.target_id)
            if target and event.added:
                target.prefixes.add((event.prefix,))
            elif target:
                target.prefixes.evict(event.prefix)

    def _apply_report(
        self, report: routing.EngineReport, now_ms: clock.Millis
    ) -> None:
        group = self._control.groups.get(report.target_id)
        if group is None:
            return
        target = self._target(report.target_id)
        target.tracker.forget_before(report.as_of_ms)
        self._slots.note_report(report, now_ms)
        cold = self._slots.is_cold(report.target_id)
        if target.was_cold and not cold:
            target.warm_since_ms = now_ms
        if cold:
            target.prefixes.clear()
        target.was_cold = cold
        # Slow tokens of a cold start do not make a straggler of a target that
        # is about to be warm.
        if not cold and report.running and report.token_ms > 0:
            model = self._model(group.model)
            model.ejector.observe(report.target_id, report.token_ms)

    def base_model(self, name: str) -> str | None:
        """Return the model that serves a name, adapter or version."""
        return _records.base_model(self._control.configuration, name)

    def has_group(self, model: str) -> bool:
        """Return whether the fold holds any group of a model."""
        return any(g.model == model for g in self._control.groups.values())

    def any_present(self, model: str, now_ms: clock.Millis) -> bool:
        """Return whether any target of a model could take work if idle."""
        return any(
            group.model == model and self._permitted(group, now_ms)
            for group in self._watched_groups()
        )

    def _watched_groups(self) -> list[routing.GroupView]:
        """Return the groups with a report, in a fixed order."""
        groups = self._control.groups
        return [groups[name] for name in self._view.reports if name in groups]

    def choose(
        self, request: interfaces.RouteRequest, now_ms: clock.Millis
    ) -> _records.Choice | None:
        """Return the target for a request, or `None` if none is free."""
        base = self.base_model(request.model)
        if base is None:
            return None
        mean = self._mean_load(base)
        warm: list[str] = []
        cold: list[str] = []
        for group in self._watched_groups():
            if group.model != base or group.group_id in request.excluded:
                continue
            if not self.may_send(group.group_id, request.model, now_ms):
                continue
            cold_now = self._slots.is_cold(group.group_id)
            (cold if cold_now else warm).append(group.group_id)
        prefixes = routing.prefix_ids(request.prompt)
        found = self._pick(base, warm, cold, mean, prefixes, request, now_ms)
        if found is None:
            return None
        group = self._control.groups[found]
        return _records.Choice(found, self._view.urls[found], group.zone)

    def _pick(
        self,
        base: str,
        warm: list[str],
        cold: list[str],
        mean: float,
        prefixes: tuple[str, ...],
        request: interfaces.RouteRequest,
        now_ms: clock.Millis,
    ) -> str | None:
        """Choose among free targets; a straggler only as the last resort."""
        settings = self._control.configuration.routing
        if settings.policy == "random":
            return self._rng.choice([*warm, *cold]) if warm or cold else None
        watched = [
            group.group_id
            for group in self._watched_groups()
            if group.model == base and group.group_id in self._view.subset
        ]
        ejected = self._model(base).ejector.ejected(watched, now_ms)
        names = [name for name in warm if name not in ejected] or warm
        drawn = routing.draw(
            names,
            lambda name: self._target(name).prefixes.cached_tokens(prefixes),
            prefixes[0] if prefixes else None,
            self._rng,
            settings.choices,
        )
        if cold:
            # One cold target is always a candidate, or none would warm up.
            drawn.append(self._rng.choice(cold))
        best = routing.cheapest(
            [self._candidate(n, mean, prefixes, now_ms) for n in drawn],
            routing.token_count(request.prompt),
            self._parameters(base),
        )
        return best.target_id if best else None

    def _parameters(self, base: str) -> routing.CostParameters:
        """Return the cost weights with this node's measurements."""
        settings = self._control.configuration.routing
        return routing.CostParameters(
            service_ms=self._model(base).service_ms,
            zone_penalty_ms=settings.zone_penalty_ms,
        )

    def _candidate(
        self,
        target_id: str,
        mean: float,
        prefixes: tuple[str, ...],
        now_ms: clock.Millis,
    ) -> routing.Candidate:
        target = self._target(target_id)
        report = self._view.reports[target_id]
        same_zone = self._control.groups[target_id].zone == self._zone
        if self._slots.is_cold(target_id):
            # This node owns a free slot, so the request will not wait. An
            # estimate that fades to the mean of the warm targets would make a
            # target that bears 2 requests look full for ever.
            load = float(len(target.tracker.in_flight))
            return routing.Candidate(target_id, load, None, 0, same_zone)
        model = self._control.groups[target_id].model
        returned_ms = self._model(model).ejector.last_ejection_end_ms(
            target_id
        )
        starts = (target.warm_since_ms, returned_ms)
        load = coldstart.ramp_load(
            self._load(target_id, mean, now_ms),
            mean,
            max((ms for ms in starts if ms is not None), default=None),
            now_ms,
        )
        return routing.Candidate(
            target_id,
            load,
            report.bearable,
            target.prefixes.cached_tokens(prefixes),
            same_zone,
        )

    def may_send(
        self, target_id: str, model: str, now_ms: clock.Millis
    ) -> bool:
        """Return whether a target may get one more request now.

        Covers R1, R3, R4 and R8; asked again directly before each grant.
        """
        group = self._control.groups.get(target_id)
        if group is None or not self._permitted(group, now_ms):
            return False
        report = self._view.reports[target_id]
        if model != group.model and model not in report.models:
            return False
        target = self._target(target_id)
        if target.unproved_since_ms is not None:
            if report.as_of_ms <= target.unproved_since_ms:
                return False
            target.unproved_since_ms = None
        if self._slots.is_cold(target_id):
            return self._slot_free(target_id, now_ms)
        if target_id not in self._view.subset:
            return False
        return not self._is_full(target_id, report, now_ms)

    def _permitted(
        self, group: routing.GroupView, now_ms: clock.Millis
    ) -> bool:
        """Return whether rules other than load permit work at a group."""
        if group.draining or group.zone in self._control.zones_out:
            return False
        if group.group_id not in self._view.urls:
            return False
        return self._is_present(group, now_ms)

    def _is_present(self, group: routing.GroupView, now_ms: int) -> bool:
        """Return whether all hosts are present, by the rule of R1.

        The rule reads every host of the group; its result is kept as long as
        neither its inputs nor the age of one of them can change it.
        """
        report = self._view.reports.get(group.group_id)
        host_list = self._view.host_list
        known = self._presence_by_target.get(group.group_id)
        if known is not None and known.holds(group, report, host_list, now_ms):
            return known.ready
        state = routing.presence(group, report, host_list, now_ms)
        self._presence_by_target[group.group_id] = _records.KnownPresence(
            group,
            report,
            host_list,
            state is routing.Presence.READY,
            routing.presence_valid_until_ms(report, host_list, now_ms),
        )
        return state is routing.Presence.READY

    def _slot_free(self, target_id: str, now_ms: clock.Millis) -> bool:
        """Return whether this node owns an unused slot of a cold target."""
        if not self._control.ownership_current:
            return False
        used = len(self._target(target_id).tracker.in_flight)
        return used < self._slots.usable_slots(target_id, now_ms)

    def _is_full(
        self,
        target_id: str,
        report: routing.EngineReport,
        now_ms: clock.Millis,
    ) -> bool:
        """Return whether a warm target would make the request wait long."""
        if report.bearable is not None:
            load = self._load(target_id, float(report.load), now_ms)
            queue = int(report.bearable * QUEUE_SHARE)
            return load >= report.bearable + queue
        tracker = self._target(target_id).tracker
        change = tracker.change_since(report.as_of_ms)
        return report.waiting > 0 and report.waiting + change >= MAX_WAITING

    def _load(
        self, target_id: str, mean: float, now_ms: clock.Millis
    ) -> float:
        return routing.estimate_load(
            self._view.reports[target_id],
            self._target(target_id).tracker,
            mean,
            now_ms,
        )

    def _mean_load(self, base: str) -> float:
        """Return the mean reported load of a model's subset."""
        loads = [
            self._view.reports[group.group_id].load
            for group in self._watched_groups()
            if group.model == base
        ]
        return sum(loads) / len(loads) if loads else 0.0

    def sent(
        self,
        grant_id: int,
        target_id: str,
        prompt: str,
        now_ms: clock.Millis,
    ) -> None:
        """Count a grant and the prefix it will leave in the cache."""
        target = self._target(target_id)
        target.tracker.sent(grant_id, now_ms)
        target.prefixes.add(routing.prefix_ids(prompt))

    def ended(
        self,
        grant_id: int,
        target_id: str,
        model: str,
        sent_ms: clock.Millis,
        report: interfaces.AttemptReport,
        now_ms: clock.Millis,
    ) -> None:
        """Return a grant's slot and learn from the attempt."""
        target = self._targets.get(target_id)
        if target is None:
            return
        target.tracker.ended(grant_id, now_ms)
        result = report.result
        ejector = self._model(model).ejector
        if result is interfaces.AttemptResult.COLD:
            self._note_cold(target_id, now_ms)
        elif result is interfaces.AttemptResult.REFUSED:
            target.unproved_since_ms = now_ms
        elif result in (
            interfaces.AttemptResult.FAILED,
            interfaces.AttemptResult.TIMED_OUT,
        ):
            # A target whose answers break may have turned cold; work as to a
            # warm one would overload it, so a newer report must come first.
            target.unproved_since_ms = now_ms
            self._doubts.add(target_id)
            ejector.failed(target_id)
        elif result is interfaces.AttemptResult.OK:
            ejector.succeeded(target_id)
            self._learn(target_id, model, sent_ms, report, now_ms)

    def _learn(
        self,
        target_id: str,
        model: str,
        sent_ms: clock.Millis,
        report: interfaces.AttemptReport,
        now_ms: clock.Millis,
    ) -> None:
        """Use a successful attempt's measurements."""
        measured = self._model(model)
        change_ms = now_ms - sent_ms - measured.service_ms
        measured.service_ms += _SMOOTHING * change_ms
        if self._slots.is_cold(target_id):
            return
        if report.token_ms is not None:
            measured.ejector.observe(target_id, report.token_ms)
        first_ms = report.first_token_ms
        if first_ms is None:
            return
        if measured.first_tokens.is_cold(first_ms):
            self._note_cold(target_id, now_ms)
            return
        change_ms = first_ms - measured.first_token_ms
        measured.first_token_ms += _SMOOTHING * change_ms

    def doubt(self, target_id: str, now_ms: clock.Millis) -> None:
        """Send nothing more to a target before a newer report of it.

        Only the nodes with an attempt of their own there see it turn cold;
        the others would send it work as to a warm one until their next poll.
        """
        if target_id in self._control.groups:
            self._target(target_id).unproved_since_ms = now_ms

    def take_doubts(self) -> frozenset[str]:
        """Return targets that turned doubtful by this node's evidence."""
        doubts = frozenset(self._doubts)
        self._doubts.clear()
        return doubts

    def _note_cold(self, target_id: str, now_ms: clock.Millis) -> None:
        self._doubts.add(target_id)
        self._slots.note_cold(target_id, now_ms)
        target = self._target(target_id)
        target.was_cold = True
        target.prefixes.clear()

    def first_token_ms(self, model: str) -> float:
        """Return the usual time from dispatch to first token."""
        return self._model(model).first_token_ms

    def in_flight(self, target_id: str) -> int:
        """Return this node's requests at a target."""
        target = self._targets.get(target_id)
        return len(target.tracker.in_flight) if target else 0

    def _target(self, target_id: str) -> _records.Target:
        target = self._targets.get(target_id)
        if target is None:
            target = self._targets[target_id] = _records.Target()
        return target

    def _model(self, base: str) -> _records.Model:
        if base not in self._models:
            settings: config.Routing = self._control.configuration.routing
            self._models[base] = _records.Model(
                routing.Ejector(
                    settings.ejection_ratio, settings.max_ejected_fraction
                )
            )
        return self._models[base]

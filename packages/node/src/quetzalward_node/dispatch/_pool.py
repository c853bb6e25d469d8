"""The targets that this node may use, and the choice of one per request."""

import random
import typing

from quetzalward_core import clock
from quetzalward_core import coldstart
from quetzalward_core import config
from quetzalward_core import routing
from quetzalward_node.dispatch import _records
from quetzalward_node import interfaces

# A target that reports no capacity is full with this many waiting requests.
MAX_WAITING_REQUESTS = 4
# A warm target is full when its load exceeds its capacity by this fraction.
# Reports are up to 2 s old; without a short queue at the target, slots that
# became free since the last report would stay unused until the next one.
MAX_QUEUE_RATIO = 0.25
_SMOOTHING_FACTOR = 0.1


class TargetPool:
    """Chooses the target of each request; does not queue requests."""

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
        self._targets: dict[str, _records.TargetState] = {}
        self._doubts: set[str] = set()
        self._stats_by_model: dict[str, _records.ModelStats] = {}
        self._presence_by_target: dict[str, _records.CachedPresence] = {}
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
        """Apply a control view; an unchanged view serves as a heartbeat."""
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
        """Apply a changed configuration to the existing slots and ejectors."""
        self._slots.configure(
            settings.engines.default_bearable,
            settings.limits.request_timeout_ms,
        )
        for model in self._stats_by_model.values():
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
        """Apply new engine reports and cache events."""
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
        # Token times of a cold start are not observed, or the target would be
        # ejected as a straggler as soon as it is warm.
        if not cold and report.running and report.token_ms > 0:
            model = self._model(group.model)
            model.ejector.observe(report.target_id, report.token_ms)

    def base_model(self, name: str) -> str | None:
        """Return the model that serves a model, adapter or version name."""
        return _records.base_model(self._control.configuration, name)

    def has_group(self, model: str) -> bool:
        """Return whether the fold holds any group of a model."""
        return any(g.model == model for g in self._control.groups.values())

    def any_eligible(self, model: str, now_ms: clock.Millis) -> bool:
        """Return whether any target of a model is eligible, loaded or not."""
        return any(
            group.model == model and self._is_eligible(group, now_ms)
            for group in self._watched_groups()
        )

    def _watched_groups(self) -> list[routing.GroupView]:
        """Return the groups with a report, in a fixed order."""
        groups = self._control.groups
        return [groups[name] for name in self._view.reports if name in groups]

    def choose(
        self, request: interfaces.RouteRequest, now_ms: clock.Millis
    ) -> _records.Choice | None:
        """Return the target for a request, or `None` if none has capacity."""
        base = self.base_model(request.model)
        if base is None:
            return None
        mean_load = self._mean_load(base)
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
        found = self._select(
            base, warm, cold, mean_load, prefixes, request, now_ms
        )
        if found is None:
            return None
        group = self._control.groups[found]
        return _records.Choice(found, self._view.urls[found], group.zone)

    def _select(
        self,
        base: str,
        warm: list[str],
        cold: list[str],
        mean_load: float,
        prefixes: tuple[str, ...],
        request: interfaces.RouteRequest,
        now_ms: clock.Millis,
    ) -> str | None:
        """Choose among targets with capacity, ejected ones last."""
        settings = self._control.configuration.routing
        if settings.policy == "random":
            return self._rng.choice([*warm, *cold]) if warm or cold else None
        watched = [
            group.group_id
            for group in self._watched_groups()
            if group.model == base and group.group_id in self._view.subset
        ]
        ejected = self._model(base).ejector.ejected(watched, now_ms)
        warm_candidates = [
            name for name in warm if name not in ejected
        ] or warm
        sampled = routing.draw(
            warm_candidates,
            lambda name: self._target(name).prefixes.cached_tokens(prefixes),
            prefixes[0] if prefixes else None,
            self._rng,
            settings.choices,
        )
        if cold:
            # One cold target is always a candidate; without requests it would
            # never become warm.
            sampled.append(self._rng.choice(cold))
        best = routing.cheapest(
            [self._candidate(n, mean_load, prefixes, now_ms) for n in sampled],
            routing.token_count(request.prompt),
            self._parameters(base),
        )
        return best.target_id if best else None

    def _parameters(self, base: str) -> routing.CostParameters:
        """Return the cost parameters, with the measured service time."""
        settings = self._control.configuration.routing
        return routing.CostParameters(
            service_ms=self._model(base).service_ms,
            zone_penalty_ms=settings.zone_penalty_ms,
        )

    def _candidate(
        self,
        target_id: str,
        mean_load: float,
        prefixes: tuple[str, ...],
        now_ms: clock.Millis,
    ) -> routing.Candidate:
        target = self._target(target_id)
        report = self._view.reports[target_id]
        same_zone = self._control.groups[target_id].zone == self._zone
        if self._slots.is_cold(target_id):
            # This node owns a free slot, so the request will not wait. The
            # usual estimate decays towards the mean of the warm targets, which
            # would make a target that bears 2 requests look full for ever.
            load = float(len(target.tracker.in_flight))
            return routing.Candidate(target_id, load, None, 0, same_zone)
        model = self._control.groups[target_id].model
        returned_ms = self._model(model).ejector.last_ejection_end_ms(
            target_id
        )
        ramp_starts_ms = (target.warm_since_ms, returned_ms)
        load = coldstart.ramp_load(
            self._load(target_id, mean_load, now_ms),
            mean_load,
            max((ms for ms in ramp_starts_ms if ms is not None), default=None),
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

        Checks R1, R3, R4 and R8; called again directly before each grant.
        """
        group = self._control.groups.get(target_id)
        if group is None or not self._is_eligible(group, now_ms):
            return False
        report = self._view.reports[target_id]
        if model != group.model and model not in report.models:
            return False
        target = self._target(target_id)
        if target.awaiting_report_since_ms is not None:
            if report.as_of_ms <= target.awaiting_report_since_ms:
                return False
            target.awaiting_report_since_ms = None
        if self._slots.is_cold(target_id):
            return self._has_free_slot(target_id, now_ms)
        if target_id not in self._view.subset:
            return False
        return not self._is_full(target_id, report, now_ms)

    def _is_eligible(
        self, group: routing.GroupView, now_ms: clock.Millis
    ) -> bool:
        """Return whether a group may get requests, apart from its load."""
        if group.draining or group.zone in self._control.zones_out:
            return False
        if group.group_id not in self._view.urls:
            return False
        return self._is_present(group, now_ms)

    def _is_present(self, group: routing.GroupView, now_ms: int) -> bool:
        """Return whether all hosts are present, as R1 requires.

        The check reads every host of the group; its result is cached until an
        input changes or expires by its age.
        """
        report = self._view.reports.get(group.group_id)
        host_list = self._view.host_list
        cached = self._presence_by_target.get(group.group_id)
        if cached is not None and cached.is_valid(
            group, report, host_list, now_ms
        ):
            return cached.ready
        state = routing.presence(group, report, host_list, now_ms)
        self._presence_by_target[group.group_id] = _records.CachedPresence(
            group,
            report,
            host_list,
            state is routing.Presence.READY,
            routing.presence_valid_until_ms(report, host_list, now_ms),
        )
        return state is routing.Presence.READY

    def _has_free_slot(self, target_id: str, now_ms: clock.Millis) -> bool:
        """Return whether this node owns a free slot of a cold target."""
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
        """Return whether a warm target's load is at its limit."""
        if report.bearable is not None:
            load = self._load(target_id, float(report.load), now_ms)
            queue = int(report.bearable * MAX_QUEUE_RATIO)
            return load >= report.bearable + queue
        tracker = self._target(target_id).tracker
        change = tracker.change_since(report.as_of_ms)
        return (
            report.waiting > 0
            and report.waiting + change >= MAX_WAITING_REQUESTS
        )

    def _load(
        self, target_id: str, mean_load: float, now_ms: clock.Millis
    ) -> float:
        return routing.estimate_load(
            self._view.reports[target_id],
            self._target(target_id).tracker,
            mean_load,
            now_ms,
        )

    def _mean_load(self, base: str) -> float:
        """Return the mean reported load of a model's watched targets."""
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
        """Record a grant and the prompt prefixes that it adds to the cache."""
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
        """Free a grant's slot and record the attempt's result."""
        target = self._targets.get(target_id)
        if target is None:
            return
        target.tracker.ended(grant_id, now_ms)
        result = report.result
        ejector = self._model(model).ejector
        if result is interfaces.AttemptResult.COLD:
            self._note_cold(target_id, now_ms)
        elif result is interfaces.AttemptResult.REFUSED:
            target.awaiting_report_since_ms = now_ms
        elif result in (
            interfaces.AttemptResult.FAILED,
            interfaces.AttemptResult.TIMED_OUT,
        ):
            # A target whose answers break off may have become cold. The load
            # of a warm target would overload it, so it gets no requests until
            # a newer report.
            target.awaiting_report_since_ms = now_ms
            self._doubts.add(target_id)
            ejector.failed(target_id)
        elif result is interfaces.AttemptResult.OK:
            ejector.succeeded(target_id)
            self._record_success(target_id, model, sent_ms, report, now_ms)

    def _record_success(
        self,
        target_id: str,
        model: str,
        sent_ms: clock.Millis,
        report: interfaces.AttemptReport,
        now_ms: clock.Millis,
    ) -> None:
        """Record the measurements of a successful attempt."""
        stats = self._model(model)
        deviation_ms = now_ms - sent_ms - stats.service_ms
        stats.service_ms += _SMOOTHING_FACTOR * deviation_ms
        if self._slots.is_cold(target_id):
            return
        if report.token_ms is not None:
            stats.ejector.observe(target_id, report.token_ms)
        first_ms = report.first_token_ms
        if first_ms is None:
            return
        if stats.first_token_monitor.is_cold(first_ms):
            self._note_cold(target_id, now_ms)
            return
        deviation_ms = first_ms - stats.first_token_ms
        stats.first_token_ms += _SMOOTHING_FACTOR * deviation_ms

    def doubt(self, target_id: str, now_ms: clock.Millis) -> None:
        """Send no more requests to a target until a newer report of it.

        Only nodes with an attempt in progress there see it become cold; the
        others would treat it as warm until their next poll.
        """
        if target_id in self._control.groups:
            self._target(target_id).awaiting_report_since_ms = now_ms

    def take_doubts(self) -> frozenset[str]:
        """Return and clear the targets doubted by this node's own evidence."""
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
        """Return the number of this node's requests at a target."""
        target = self._targets.get(target_id)
        return len(target.tracker.in_flight) if target else 0

    def _target(self, target_id: str) -> _records.TargetState:
        target = self._targets.get(target_id)
        if target is None:
            target = self._targets[target_id] = _records.TargetState()
        return target

    def _model(self, base: str) -> _records.ModelStats:
        if base not in self._stats_by_model:
            settings: config.Routing = self._control.configuration.routing
            self._stats_by_model[base] = _records.ModelStats(
                routing.Ejector(
                    settings.ejection_ratio, settings.max_ejected_fraction
                )
            )
        return self._stats_by_model[base]

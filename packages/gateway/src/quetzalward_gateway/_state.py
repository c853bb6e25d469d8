"""State of a gateway node, and the choice of targets for requests."""

import itertools
import random
import typing

import attrs

from quetzalward_core import clock
from quetzalward_core import coordination
from quetzalward_core import fleet
from quetzalward_core import grouping
from quetzalward_core import limits
from quetzalward_core import notices
from quetzalward_core import placing
from quetzalward_core import quarantine
from quetzalward_gateway import _admission
from quetzalward_gateway import _ports
from quetzalward_gateway import _settings
from quetzalward_gateway import _trials

# Without a view from the coordinator for this long, the entries of the targets
# in the store determine which groups are open.
VIEW_MAX_AGE_MS = 2_500
# One-way network latency between zones, for the choice of a group.
CROSS_ZONE_LATENCY_MS = 1.5

# Label and epoch.
GroupKey = tuple[str, int]


@attrs.frozen
class OpenGroup:
    """A group that accepts requests, and the target that receives them."""

    entry: coordination.GroupEntry
    head: fleet.Target

    @property
    def key(self) -> GroupKey:
        """Return the group's label and epoch."""
        return (self.entry.name, self.entry.epoch)


@attrs.frozen
class StreamPlacement:
    """The group chosen for a stream, with the basis of the prediction."""

    group: OpenGroup
    first_event_ms: float
    # Active requests at the group as known to this node, and the age of the
    # part that other nodes reported.
    load: float
    load_age_ms: clock.Millis | None
    engine: fleet.Engine
    model: fleet.Model
    pool: limits.PoolKey
    # Groups that were left out for want of a permit.
    limited_groups: int = 0


class NodeState:
    """Configuration, targets, groups and loads as this node knows them."""

    def __init__(
        self, settings: _settings.Settings, rng: random.Random
    ) -> None:
        """Start without a configuration, targets and groups."""
        self._settings = settings
        self._rng = rng
        self.configuration: fleet.Configuration | None = None
        self.precedence = fleet.Precedence()
        # The operators' record of the configuration, and the era of the store
        # in which it was read.
        self.configuration_record: _ports.Record | None = None
        self.configuration_era = coordination.UNKNOWN_ERA
        self.confirmation = fleet.ConfirmationGate()
        # Whether the store was restored and has an older configuration.
        self.is_store_behind = False
        self._routes = fleet.RouteTable(())
        self.evacuated_zones: set[str] = set()
        self.directory = fleet.Directory()
        self.freshness = fleet.Freshness(settings.bounds.revoke_ms)
        self.outcomes = placing.OutcomeTracker()
        self.evidence = quarantine.EvidenceLog()
        self.quarantine = quarantine.Quarantine()
        self.trials = _trials.Trials()
        self.target_limits = limits.TargetLimits(rng)
        self.admission = _admission.TargetAdmission(
            settings, self.directory, self.target_limits
        )
        self.notices = notices.TargetNotices()
        self._retry_budget_by_service: dict[str, placing.RetryBudget] = {}
        self.load_by_group: dict[GroupKey, placing.GroupLoad] = {}
        # The holder's group list, the term that numbers its versions, and the
        # time of the last view that confirmed it.
        self._groups: coordination.GroupList | None = None
        self._groups_term = -1
        self._groups_complete = False
        self._view_ms: clock.Millis | None = None
        self.node_count = settings.nodes
        self.request_count = 0
        self._request_numbers = itertools.count(1)
        self.suspects: set[str] = set()
        # Set if the next message should not wait for the interval to pass.
        self.send_message_now = False
        # Set if a request waits for a permit.
        self.report_demand_now = False
        # Set if the holder should relay what it read without delay.
        self.relay_now = False
        # Answers, failures and summed latency in ms of successes, by target.
        self._unreported_outcomes: dict[str, list[float]] = {}

    @property
    def bounds(self) -> _settings.Bounds:
        """Return the limits that the deployment sets."""
        return self._settings.bounds

    def next_request_id(self, received_ms: clock.Millis) -> str:
        """Return an id for a request that no other request has.

        Callers may send the same attempt id several times, or none.
        """
        number = next(self._request_numbers)
        return f"{self._settings.node}/{received_ms}/{number}"

    # Updates from the store.

    def apply_configuration(
        self,
        configuration: fleet.Configuration,
        record: _ports.Record,
        era: int,
        numbering: int | None = None,
    ) -> bool:
        """Put a configuration in force; false if it is not a later one.

        It was read in an era of the store. `numbering` is that of the one in
        force unless the versions have begun anew.
        """
        current = self.precedence
        if numbering is None:
            numbering = max(0, current.numbering)
        precedence = fleet.Precedence(numbering, configuration.version)
        if precedence < current:
            return False
        if precedence == current and (
            era <= self.configuration_era
            or configuration == self.configuration
        ):
            return False
        self.precedence = precedence
        self.configuration = configuration
        self.configuration_record = record
        self.configuration_era = era
        self._routes = fleet.RouteTable(configuration.routes)
        return True

    def caller_limits(self) -> fleet.CallerLimits:
        """Return the limits on callers' requests that are in force."""
        if self.configuration is None:
            return fleet.CallerLimits()
        return self.configuration.limits

    def find_route(self, host: str, path: str) -> fleet.Route | None:
        """Return the route for a host and path, `None` if there is none."""
        return self._routes.find(host, path)

    def pick_service(self, route: fleet.Route) -> fleet.Service | None:
        """Choose a service of a route at random, by weight."""
        name = fleet.pick_service(route, self._rng)
        if name is None or self.configuration is None:
            return None
        return self.configuration.service_by_name.get(name)

    def admits(
        self, target: fleet.Target, now_ms: clock.Millis
    ) -> notices.Verdict:
        """Tell whether a target may receive new requests."""
        return self.notices.admits(target, self.evacuated_zones, now_ms)

    def admits_now(
        self, target: fleet.Target, now_ms: clock.Millis
    ) -> notices.Verdict:
        """Tell whether a target that was chosen before is still admitted.

        Its entry may have changed since.
        """
        entry = self.directory.get(target.id)
        if entry is None or entry.key != target.key:
            entry = target
        return self.admits(entry, now_ms)

    def is_usable(self, target: fleet.Target, now_ms: clock.Millis) -> bool:
        """Tell whether a target may receive new requests."""
        return isinstance(self.admits(target, now_ms), notices.Allowed)

    def _is_resting(self, target_id: str, now_ms: clock.Millis) -> bool:
        entry = self.directory.get(target_id)
        if entry is None:
            return False
        verdict = self.admits(entry, now_ms)
        return (
            isinstance(verdict, notices.Refused)
            and verdict.reason is notices.Reason.RESTING
        )

    def _refusal_if_none_admitted(
        self, targets: typing.Iterable[fleet.Target], now_ms: clock.Millis
    ) -> placing.Refusal | None:
        """Return a refusal until one of the targets takes requests again.

        Returns `None` if one takes them now, or there are no targets.
        """
        verdicts = [self.admits(target, now_ms) for target in targets]
        reasons = sorted(
            {
                v.reason.value
                for v in verdicts
                if isinstance(v, notices.Refused)
            }
        )
        if not reasons or notices.Allowed() in verdicts:
            return None
        retry_after_ms = placing.MIN_RETRY_AFTER_MS
        end_ms = notices.rest_end_ms(verdicts)
        if end_ms is not None:
            retry_after_ms = placing.spread_retry_after_ms(
                end_ms - now_ms, self._rng
            )
        return placing.Refusal(
            f"all targets are {' or '.join(reasons)}", retry_after_ms
        )

    def message_interval_ms(self) -> float:
        """Return the interval between messages of one node."""
        return coordination.message_interval_ms(self.node_count)

    def relay_interval_ms(self) -> float:
        """Return the interval between messages of the holder to a node."""
        return coordination.relay_interval_ms(self.node_count)

    def random_delay_ms(self, max_ms: float) -> float:
        """Return a time of up to `max_ms` that differs between nodes."""
        return self._rng.uniform(0.0, max_ms)

    # Updates from the coordinator.

    def apply_view(
        self, view: coordination.View, now_ms: clock.Millis
    ) -> None:
        """Apply the coordinator's view; the caller has checked its term."""
        self.node_count = max(1, view.nodes)
        self._apply_outcomes(view, now_ms)
        if view.groups is not None:
            self._groups, self._groups_term = view.groups, view.term
        groups = self._groups
        if (
            groups is None
            or self._groups_term != view.term
            or groups.version != view.groups_version
        ):
            # The message with the list was lost; the next status asks for it.
            self.send_message_now = True
            return
        self._view_ms = now_ms
        self._groups_complete = view.complete
        keys = groups.keys()
        if view.complete:
            self._mark_lost_groups(set(keys))
        row_by_key = {
            keys[row.position]: row
            for row in view.load
            if 0 <= row.position < len(keys)
        }
        for key, load in self.load_by_group.items():
            if key not in row_by_key:
                load.others_active = load.others_prefill_tokens = 0.0
                load.others_updated_ms = now_ms
            if key in keys:
                load.expire_suspicion(now_ms)
        for key, row in row_by_key.items():
            load = self.load_of(key)
            load.others_active = max(0.0, row.active - load.reported_active)
            load.others_prefill_tokens = max(
                0.0, row.pending_prefill_tokens - load.reported_prefill_tokens
            )
            load.others_updated_ms = now_ms
            load.slowness = row.slowness
            if row.event_age_ms >= 0:
                load.record_event(now_ms - row.event_age_ms)

    def _apply_outcomes(
        self, view: coordination.View, now_ms: clock.Millis
    ) -> None:
        for outcome in view.outcomes:
            succeeded = outcome.answered - outcome.failed
            if succeeded > 0:
                self.outcomes.observe(
                    outcome.target_id,
                    True,
                    outcome.mean_latency_ms,
                    now_ms,
                    succeeded,
                )
            if outcome.failed > 0:
                self.outcomes.observe(
                    outcome.target_id, False, 0.0, now_ms, outcome.failed
                )

    def _mark_lost_groups(self, listed: set[GroupKey]) -> None:
        """Mark the groups that the coordinator no longer lists as lost."""
        for key, load in list(self.load_by_group.items()):
            if key in listed:
                continue
            load.lost = True
            if not load.active:
                del self.load_by_group[key]

    def load_of(self, key: GroupKey) -> placing.GroupLoad:
        """Return the load of a group in one epoch."""
        load = self.load_by_group.get(key)
        if load is None:
            load = self.load_by_group[key] = placing.GroupLoad()
        return load

    def open_groups(
        self, service: str, model: str, now_ms: clock.Millis
    ) -> list[OpenGroup]:
        """Return the groups of a model that accept requests."""
        return [
            group
            for group in self._listed_groups(service, model, now_ms)
            if self.is_usable(group.head, now_ms)
        ]

    def _listed_groups(
        self, service: str, model: str, now_ms: clock.Millis
    ) -> list[OpenGroup]:
        """Return the groups of a model that are open as such."""
        groups = []
        for entry in self._open_entries(service, now_ms):
            if entry.model != model:
                continue
            head = self.directory.get(entry.head)
            # The coordinator lists the groups of all services, and several
            # services may serve a model of the same name.
            if head is not None and head.service == service:
                groups.append(OpenGroup(entry, head))
        return groups

    def _open_entries(
        self, service: str, now_ms: clock.Millis
    ) -> typing.Iterable[coordination.GroupEntry]:
        if (
            self._groups is not None
            and self._groups_complete
            and self._view_ms is not None
            and now_ms - self._view_ms <= VIEW_MAX_AGE_MS
        ):
            return self._groups.open
        return self._announced_entries(service)

    def _announced_entries(
        self, service: str
    ) -> list[coordination.GroupEntry]:
        """Return the groups that are open by the entries of their heads."""
        entries = []
        for target in self.directory.of_service(service):
            membership = target.membership
            if (
                membership is not None
                and membership.rank == 0
                and membership.state is fleet.MemberState.OPEN
            ):
                label = coordination.group_label(service, membership.group)
                model = grouping.model_of(membership.group)
                entries.append(
                    coordination.GroupEntry(
                        label, membership.epoch, model, target.id
                    )
                )
        return entries

    # Choice of targets.

    def final_refusal(
        self,
        refusal: placing.Refusal,
        pool: limits.PoolKey,
        now_ms: clock.Millis,
    ) -> placing.Refusal:
        """Return a refusal with the time after which its caller may return."""
        if refusal is not _admission.LIMITED:
            return refusal
        return self.admission.refusal(pool, self.node_count, now_ms, self._rng)

    def place_stream(
        self,
        service: fleet.Service,
        request: _ports.CallerRequest,
        remaining_ms: float,
        tried: set[GroupKey],
        now_ms: clock.Millis,
    ) -> StreamPlacement | placing.Refusal:
        """Choose the group for a stream, or refuse it."""
        engine = service.engine
        prompt = request.prompt
        model = None
        if engine is not None and request.model is not None:
            model = engine.models_by_name.get(request.model)
        if engine is None or model is None or prompt is None:
            return placing.Refusal("unknown model", placing.MIN_RETRY_AFTER_MS)
        pool = _admission.pool_of(service, model.name)
        usable = [
            group
            for group in self.open_groups(service.name, model.name, now_ms)
            if self._accepts_request(service, group, tried, now_ms)
        ]
        groups = [
            group
            for group in usable
            if self.admission.is_within_limit(
                group.head, self.node_count, now_ms
            )
        ]
        if usable and not groups:
            return _admission.LIMITED
        if not groups:
            listed = self._listed_groups(service.name, model.name, now_ms)
            refusal = self._refusal_if_none_admitted(
                (g.head for g in listed), now_ms
            )
            if refusal is not None:
                return refusal
        # A silent group whose members are being probed is better than none.
        responsive = [
            g for g in groups if not self.load_of(g.key).check_requested
        ]
        group_by_label = {
            group.entry.name: group for group in responsive or groups
        }
        choice = placing.choose_group(
            engine,
            model,
            prompt,
            [self._candidate(g, now_ms) for g in group_by_label.values()],
            remaining_ms,
            self._rng,
            self._load_age_ms(now_ms),
        )
        if isinstance(choice, placing.Refusal):
            return choice
        group = group_by_label[choice.group]
        load = self.load_of(group.key)
        age_ms = (
            None
            if load.others_updated_ms is None
            else now_ms - load.others_updated_ms
        )
        return StreamPlacement(
            group,
            choice.first_event_ms,
            load.load(now_ms).active,
            age_ms,
            engine,
            model,
            pool,
            len(usable) - len(groups),
        )

    def _load_age_ms(self, now_ms: clock.Millis) -> float:
        """Return the mean age of the loads that the view reports."""
        if self._view_ms is None or self.node_count <= 1:
            return 0.0
        # Statuses reach the coordinator at any time between two views, half
        # an interval before the view on average.
        return now_ms - self._view_ms + self.message_interval_ms() / 2

    def _candidate(
        self, group: OpenGroup, now_ms: clock.Millis
    ) -> placing.Candidate:
        load = self.load_of(group.key)
        is_remote = group.head.zone != self._settings.zone
        return placing.Candidate(
            group.entry.name,
            load.load(now_ms),
            load.slowness,
            CROSS_ZONE_LATENCY_MS if is_remote else 0.0,
        )

    def _accepts_request(
        self,
        service: fleet.Service,
        group: OpenGroup,
        tried: set[GroupKey],
        now_ms: clock.Millis,
    ) -> bool:
        load = self.load_of(group.key)
        return (
            group.key not in tried
            and not load.suspected
            and not load.lost
            and self.admission.tolerates_cold(
                service, group.head, self.node_count, now_ms
            )
        )

    def place_plain(
        self,
        service: fleet.Service,
        tried: set[str],
        now_ms: clock.Millis,
    ) -> fleet.Target | placing.Refusal:
        """Choose the target of a request to a service without groups."""
        usable = [
            target
            for target in self.directory.of_service(service.name)
            if self.is_usable(target, now_ms)
            and target.id not in tried
            and self.admission.tolerates_cold(
                service, target, self.node_count, now_ms
            )
        ]
        candidates = [
            target
            for target in usable
            if self.admission.is_within_limit(target, self.node_count, now_ms)
        ]
        if usable and not candidates:
            return _admission.LIMITED
        if not candidates:
            refusal = self._refusal_if_none_admitted(
                self.directory.of_service(service.name), now_ms
            )
            if refusal is not None:
                return refusal
        chosen = placing.choose_target(
            self.outcomes,
            candidates,
            self._settings.zone,
            self.node_count,
            now_ms,
            self._rng,
        )
        if chosen is None:
            return placing.Refusal(
                "no target is available", placing.MIN_RETRY_AFTER_MS
            )
        return chosen

    def retry_budget(self, service: str) -> placing.RetryBudget:
        """Return the budget for retries of a service's requests."""
        budget = self._retry_budget_by_service.get(service)
        if budget is None:
            bounds = self._settings.bounds
            budget = placing.RetryBudget(
                bounds.repeat_ratio,
                bounds.repeat_slack,
                bounds.repeat_window_ms,
                self._rng,
            )
            self._retry_budget_by_service[service] = budget
        return budget

    # Reports to other nodes.

    def observe_outcome(
        self,
        target_id: str,
        ok: bool,
        latency_ms: float,
        now_ms: clock.Millis,
    ) -> None:
        """Record the result of a request to a target outside groups.

        It is also reported to the other nodes. A target that rests did not
        fail: it is known when it serves again.
        """
        if not ok and self._is_resting(target_id, now_ms):
            return
        self.outcomes.observe(target_id, ok, latency_ms, now_ms)
        row = self._unreported_outcomes.setdefault(target_id, [0, 0, 0.0])
        row[0] += 1
        if ok:
            row[2] += latency_ms
        else:
            row[1] += 1

    def known_groups(self) -> tuple[int, int]:
        """Return term and version of the group list; -1 if there is none."""
        if self._groups is None:
            return -1, -1
        return self._groups_term, self._groups.version

    def take_status(
        self,
        term: int,
        known: coordination.Known,
        now_ms: clock.Millis,
        boot_ms: clock.Millis,
    ) -> coordination.Status:
        """Return this node's status; clear what is reported only once."""
        work = []
        for (name, epoch), load in self.load_by_group.items():
            if not load.active and not load.reported_active:
                continue
            load.reported_active = float(load.active)
            load.reported_prefill_tokens = float(load.pending_prefill_tokens)
            event_ms = load.last_own_event_ms
            event_age_ms = (
                -1 if event_ms is None else max(0, now_ms - event_ms)
            )
            work.append(
                coordination.GroupWork(
                    name,
                    epoch,
                    load.active,
                    load.pending_prefill_tokens,
                    event_age_ms,
                    load.suspected or load.check_requested,
                    *load.take_gap_stats(),
                )
            )
        outcomes = tuple(
            coordination.Outcome(
                target_id,
                int(row[0]),
                int(row[1]),
                row[2] / max(1.0, row[0] - row[1]),
            )
            for target_id, row in self._unreported_outcomes.items()
        )
        self._unreported_outcomes.clear()
        suspects = tuple(self.suspects)
        self.suspects.clear()
        return coordination.Status(
            self._settings.node,
            term,
            boot_ms,
            self.request_count,
            tuple(work),
            outcomes,
            suspects,
            known,
        )

    def forget_removed_targets(self, now_ms: clock.Millis) -> None:
        """Drop the statistics of targets that no longer exist."""
        self.outcomes.retain({target.id for target in self.directory.all()})
        self.admission.forget_gone(now_ms)
        self.notices.forget_gone(
            {target.id: target.born_ms for target in self.directory.all()},
            now_ms,
        )

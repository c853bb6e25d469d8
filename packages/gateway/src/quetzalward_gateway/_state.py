"""What a node knows, and where its requests go."""

import random
import typing

import attrs

from quetzalward_core import clock
from quetzalward_core import coordination
from quetzalward_core import fleet
from quetzalward_core import grouping
from quetzalward_core import placing
from quetzalward_gateway import _ports
from quetzalward_gateway import _settings

# Without a message of the coordinator for so long, the targets' own entries
# say which groups are open.
VIEW_MAX_AGE_MS = 2_500
# Messages of a small fleet; a larger one sends less often, so that the
# coordinator's processor time and bytes stay bounded.
MESSAGE_MS = 150
NODES_AT_FULL_RATE = 30
# One way between zones, for the choice of a group.
ZONE_DISTANCE_MS = 1.5

GroupKey = tuple[str, int]


@attrs.frozen
class GroupSite:
    """An open group and the target that takes its requests."""

    entry: coordination.GroupEntry
    head: fleet.Target

    @property
    def key(self) -> GroupKey:
        """Return name and epoch."""
        return (self.entry.name, self.entry.epoch)


@attrs.frozen
class StreamPlace:
    """Where a stream goes."""

    site: GroupSite
    first_event_ms: float
    # Requests at the group as known, and the age of what others told.
    load: float
    load_age_ms: clock.Millis | None
    engine: fleet.Engine
    model: fleet.Model


class NodeState:
    """Configuration, targets, groups and loads as this node knows them."""

    def __init__(
        self, settings: _settings.Settings, draw: random.Random
    ) -> None:
        """Start without knowledge."""
        self._settings = settings
        self._draw = draw
        self.configuration: fleet.Configuration | None = None
        self._routes = fleet.RouteTable(())
        self.evacuated_zones: set[str] = set()
        self.directory = fleet.Directory()
        self.freshness = fleet.Freshness(settings.bounds.revoke_ms)
        self.outcomes = placing.OutcomeTracker()
        self.cold = placing.ColdStartBudget()
        self._repeats_by_service: dict[str, placing.RetryBudget] = {}
        self.load_by_group: dict[GroupKey, placing.GroupLoad] = {}
        self._view: coordination.View | None = None
        self._view_ms: clock.Millis | None = None
        self.nodes = settings.nodes
        self.requests = 0
        self.suspects: set[str] = set()
        # Set when the coordinator should hear of something at once.
        self.is_urgent = False
        self._outcomes_to_share: dict[str, list[float]] = {}

    # What the store says.

    def apply_configuration(self, configuration: fleet.Configuration) -> bool:
        """Take a configuration; false if it is not newer."""
        current = self.configuration
        if current is not None and configuration.version <= current.version:
            return False
        self.configuration = configuration
        self._routes = fleet.RouteTable(configuration.routes)
        return True

    def limits(self) -> fleet.CallerLimits:
        """Return the limits for callers in force."""
        if self.configuration is None:
            return fleet.CallerLimits()
        return self.configuration.limits

    def find_route(self, host: str, path: str) -> fleet.Route | None:
        """Return the route of a request."""
        return self._routes.find(host, path)

    def pick_service(self, route: fleet.Route) -> fleet.Service | None:
        """Draw the service of a request."""
        name = fleet.pick_service(route, self._draw)
        if name is None or self.configuration is None:
            return None
        return self.configuration.service_by_name.get(name)

    def is_usable(self, target: fleet.Target) -> bool:
        """Tell whether new work may go to a target."""
        return not target.draining and target.zone not in self.evacuated_zones

    def message_ms(self) -> float:
        """Return the interval between the messages of a node."""
        return MESSAGE_MS * max(1.0, self.nodes / NODES_AT_FULL_RATE)

    # What the coordinator says.

    def apply_view(
        self, view: coordination.View, now_ms: clock.Millis
    ) -> None:
        """Take the coordinator's view; its terms are checked before."""
        self._view = view
        self._view_ms = now_ms
        self.nodes = max(1, view.nodes)
        if view.complete:
            self._drop_groups(view)
        working = {(work.group, work.epoch) for work in view.work}
        for key, load in self.load_by_group.items():
            if key not in working:
                load.others_active = load.others_prefill_tokens = 0.0
                load.others_updated_ms = now_ms
        for work in view.work:
            load = self.load_of((work.group, work.epoch))
            load.others_active = max(0.0, work.active - load.reported_active)
            load.others_prefill_tokens = max(
                0.0, work.pending_prefill_tokens - load.reported_prefill_tokens
            )
            load.others_updated_ms = now_ms
            load.slowness = work.slowness
            if work.event_age_ms >= 0:
                load.record_event(now_ms - work.event_age_ms)
        for outcome in view.outcomes:
            good = outcome.answered - outcome.failed
            if good > 0:
                self.outcomes.observe(
                    outcome.target_id,
                    True,
                    outcome.mean_latency_ms,
                    now_ms,
                    good,
                )
            if outcome.failed > 0:
                self.outcomes.observe(
                    outcome.target_id, False, 0.0, now_ms, outcome.failed
                )

    def _drop_groups(self, view: coordination.View) -> None:
        """Mark the groups that the coordinator has given up."""
        keys = {(entry.name, entry.epoch) for entry in view.groups}
        keys.update(view.closing)
        for key, load in list(self.load_by_group.items()):
            if key in keys:
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
    ) -> list[GroupSite]:
        """Return the groups of a model that can take a request."""
        sites = []
        for entry in self._entries(service, now_ms):
            if entry.model != model:
                continue
            head = self.directory.get(entry.head)
            if head is not None and self.is_usable(head):
                sites.append(GroupSite(entry, head))
        return sites

    def _entries(
        self, service: str, now_ms: clock.Millis
    ) -> typing.Iterable[coordination.GroupEntry]:
        view = self._view
        if (
            view is not None
            and view.complete
            and self._view_ms is not None
            and now_ms - self._view_ms <= VIEW_MAX_AGE_MS
        ):
            return view.groups
        return self._announced(service)

    def _announced(self, service: str) -> list[coordination.GroupEntry]:
        """Return the groups whose heads announce that they are open."""
        entries = []
        for target in self.directory.of_service(service):
            seat = target.membership
            if (
                seat is not None
                and seat.rank == 0
                and seat.state is fleet.MemberState.OPEN
            ):
                model = grouping.model_of(seat.group)
                entries.append(
                    coordination.GroupEntry(
                        seat.group, seat.epoch, model, target.id
                    )
                )
        return entries

    # Decisions about requests.

    def place_stream(
        self,
        service: fleet.Service,
        request: _ports.CallerRequest,
        left_ms: float,
        tried: set[GroupKey],
        now_ms: clock.Millis,
    ) -> StreamPlace | placing.Refusal:
        """Choose the group for a stream, or refuse it."""
        engine = service.engine
        prompt = request.prompt
        model = None
        if engine is not None and request.model is not None:
            model = engine.models_by_name.get(request.model)
        if engine is None or model is None or prompt is None:
            return placing.Refusal("unknown model", placing.MIN_RETRY_AFTER_MS)
        sites = [
            site
            for site in self.open_groups(service.name, model.name, now_ms)
            if self._takes_work(service, site, tried, now_ms)
        ]
        # A doubtful group is better than none.
        sure = [s for s in sites if not self.load_of(s.key).check_requested]
        site_by_group = {site.entry.name: site for site in sure or sites}
        choice = placing.choose_group(
            engine,
            model,
            prompt,
            [self._candidate(s, now_ms) for s in site_by_group.values()],
            left_ms,
            self._draw,
            self._shared_age_ms(now_ms),
        )
        if isinstance(choice, placing.Refusal):
            return choice
        site = site_by_group[choice.group]
        load = self.load_of(site.key)
        age_ms = (
            None
            if load.others_updated_ms is None
            else now_ms - load.others_updated_ms
        )
        return StreamPlace(
            site,
            choice.first_event_ms,
            load.load(now_ms).active,
            age_ms,
            engine,
            model,
        )

    def _shared_age_ms(self, now_ms: clock.Millis) -> float:
        """Return how long ago the nodes counted the loads in the view."""
        if self._view_ms is None or self.nodes <= 1:
            return 0.0
        # Statuses reach the coordinator at any time between two views.
        return now_ms - self._view_ms + self.message_ms() / 2

    def _candidate(
        self, site: GroupSite, now_ms: clock.Millis
    ) -> placing.Candidate:
        load = self.load_of(site.key)
        away = site.head.zone != self._settings.zone
        return placing.Candidate(
            site.entry.name,
            load.load(now_ms),
            load.slowness,
            ZONE_DISTANCE_MS if away else 0.0,
        )

    def _takes_work(
        self,
        service: fleet.Service,
        site: GroupSite,
        tried: set[GroupKey],
        now_ms: clock.Millis,
    ) -> bool:
        load = self.load_of(site.key)
        return (
            site.key not in tried
            and not load.suspected
            and not load.lost
            and self._bears_cold(service, site.head.id, now_ms)
        )

    def place_plain(
        self,
        service: fleet.Service,
        tried: set[str],
        now_ms: clock.Millis,
    ) -> fleet.Target | None:
        """Choose the target of a request to a plain service."""
        candidates = [
            target
            for target in self.directory.of_service(service.name)
            if self.is_usable(target)
            and target.id not in tried
            and self._bears_cold(service, target.id, now_ms)
        ]
        return placing.choose_target(
            self.outcomes,
            candidates,
            self._settings.zone,
            self.nodes,
            now_ms,
            self._draw,
        )

    def _bears_cold(
        self, service: fleet.Service, target_id: str, now_ms: clock.Millis
    ) -> bool:
        if service.cold_max_requests_per_s <= 0:
            return True
        bounds = self._settings.bounds
        limit = placing.ColdStartLimit(
            service.cold_max_requests_per_s,
            service.cold_max_requests_per_s * bounds.cold_ratio
            + bounds.cold_slack,
        )
        is_cold = self.directory.cold_left_ms(target_id, now_ms) > 0
        return self.cold.allows(
            target_id, limit.allowed_per_s(is_cold), self.nodes, now_ms
        )

    def repeat_budget(self, service: str) -> placing.RetryBudget:
        """Return the budget of repeated sends to a service."""
        budget = self._repeats_by_service.get(service)
        if budget is None:
            bounds = self._settings.bounds
            budget = placing.RetryBudget(
                bounds.repeat_ratio,
                bounds.repeat_slack,
                bounds.repeat_window_ms,
            )
            self._repeats_by_service[service] = budget
        return budget

    # What this node tells the others.

    def observe_outcome(
        self,
        target_id: str,
        ok: bool,
        latency_ms: float,
        now_ms: clock.Millis,
    ) -> None:
        """Note the answer of a plain target, here and for the others."""
        self.outcomes.observe(target_id, ok, latency_ms, now_ms)
        row = self._outcomes_to_share.setdefault(target_id, [0, 0, 0.0])
        row[0] += 1
        if ok:
            row[2] += latency_ms
        else:
            row[1] += 1

    def status(
        self, term: int, now_ms: clock.Millis, boot_ms: clock.Millis
    ) -> coordination.Status:
        """Return this node's status and start the next interval."""
        work = []
        for (name, epoch), load in self.load_by_group.items():
            if not load.active and not load.reported_active:
                continue
            load.reported_active = float(load.active)
            load.reported_prefill_tokens = float(load.pending_prefill_tokens)
            own = load.last_own_event_ms
            age = -1 if own is None else max(0, now_ms - own)
            work.append(
                coordination.GroupWork(
                    name,
                    epoch,
                    load.active,
                    load.pending_prefill_tokens,
                    age,
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
            for target_id, row in self._outcomes_to_share.items()
        )
        self._outcomes_to_share.clear()
        suspects = tuple(self.suspects)
        self.suspects.clear()
        return coordination.Status(
            self._settings.node,
            term,
            boot_ms,
            self.requests,
            tuple(work),
            outcomes,
            suspects,
        )

    def forget_gone(self) -> None:
        """Drop evidence about targets that no longer exist."""
        present = {target.id for target in self.directory.all()}
        self.outcomes.retain(present)
        self.cold.retain(present)

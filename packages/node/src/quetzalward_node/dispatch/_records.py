"""Records of the target pool: choices, per-target and per-model state."""

import attrs

from quetzalward_core import clock
from quetzalward_core import coldstart
from quetzalward_core import config
from quetzalward_core import routing


@attrs.frozen
class Choice:
    """The target chosen for a request."""

    target_id: str
    url: str
    zone: str


@attrs.define
class TargetState:
    """What this node has observed of one target by its own requests."""

    tracker: routing.LoadTracker = attrs.field(factory=routing.LoadTracker)
    prefixes: routing.PrefixIndex = attrs.field(factory=routing.PrefixIndex)
    was_cold: bool = False
    warm_since_ms: clock.Millis | None = None
    # Time of the last refusal or failure. The target gets no requests until a
    # report newer than this arrives.
    awaiting_report_since_ms: clock.Millis | None = None


@attrs.frozen(eq=False)
class CachedPresence:
    """Cached result of the presence check, with its inputs and expiry."""

    group: routing.GroupView
    report: routing.EngineReport | None
    host_list: routing.HostList | None
    ready: bool
    valid_until_ms: clock.Millis | None

    def is_valid(
        self,
        group: routing.GroupView,
        report: routing.EngineReport | None,
        host_list: routing.HostList | None,
        now_ms: clock.Millis,
    ) -> bool:
        """Return whether the result is still valid for these inputs."""
        if self.valid_until_ms is not None and now_ms >= self.valid_until_ms:
            return False
        same = self.group is group and self.report is report
        return same and self.host_list is host_list


@attrs.define
class ModelStats:
    """Measurements over all targets of one model."""

    ejector: routing.Ejector
    first_token_monitor: coldstart.FirstTokenMonitor = attrs.field(
        factory=coldstart.FirstTokenMonitor
    )
    service_ms: float = routing.CostParameters().service_ms
    first_token_ms: float = 0.0


def base_model(configuration: config.Configuration, name: str) -> str | None:
    """Return the model that serves a model, adapter or version name."""
    if name in configuration.models:
        return name
    for base, model in configuration.models.items():
        if name in model.adapters or name in model.versions:
            return base
    return None

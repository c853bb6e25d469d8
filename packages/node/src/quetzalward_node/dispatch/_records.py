"""Values of the target pool, and what it learns by its own requests."""

import attrs

from quetzalward_core import clock
from quetzalward_core import coldstart
from quetzalward_core import config
from quetzalward_core import routing


@attrs.frozen
class Choice:
    """A target found for a request."""

    target_id: str
    url: str
    zone: str


@attrs.define
class Target:
    """This node's own knowledge of one target."""

    tracker: routing.LoadTracker = attrs.field(factory=routing.LoadTracker)
    prefixes: routing.PrefixIndex = attrs.field(factory=routing.PrefixIndex)
    was_cold: bool = False
    warm_since_ms: clock.Millis | None = None
    # Time of the last refusal or failure; only a newer report clears it.
    unproved_since_ms: clock.Millis | None = None


@attrs.frozen(eq=False)
class KnownPresence:
    """Result of the presence rule for some inputs, until a time."""

    group: routing.GroupView
    report: routing.EngineReport | None
    host_list: routing.HostList | None
    ready: bool
    until_ms: clock.Millis | None

    def holds(
        self,
        group: routing.GroupView,
        report: routing.EngineReport | None,
        host_list: routing.HostList | None,
        now_ms: clock.Millis,
    ) -> bool:
        """Return whether the result is still that of the rule."""
        if self.until_ms is not None and now_ms >= self.until_ms:
            return False
        same = self.group is group and self.report is report
        return same and self.host_list is host_list


@attrs.define
class Model:
    """Measurements of one model's targets."""

    ejector: routing.Ejector
    first_tokens: coldstart.FirstTokenMonitor = attrs.field(
        factory=coldstart.FirstTokenMonitor
    )
    service_ms: float = routing.CostParameters().service_ms
    first_token_ms: float = 0.0


def base_model(configuration: config.Configuration, name: str) -> str | None:
    """Return the model that serves a name, adapter or version."""
    if name in configuration.models:
        return name
    for base, model in configuration.models.items():
        if name in model.adapters or name in model.versions:
            return base
    return None

"""Placement of requests on groups and targets, and their rate budgets."""

from quetzalward_core.placing._budget import ColdStartBudget
from quetzalward_core.placing._budget import ColdStartLimit
from quetzalward_core.placing._budget import RetryBudget
from quetzalward_core.placing._choice import Candidate
from quetzalward_core.placing._choice import choose_group
from quetzalward_core.placing._choice import jittered_retry_after_ms
from quetzalward_core.placing._choice import MAX_RETRY_AFTER_MS
from quetzalward_core.placing._choice import MIN_RETRY_AFTER_MS
from quetzalward_core.placing._choice import Placement
from quetzalward_core.placing._choice import Refusal
from quetzalward_core.placing._choice import spread_retry_after_ms
from quetzalward_core.placing._cost import first_event_ms
from quetzalward_core.placing._cost import Load
from quetzalward_core.placing._cost import pass_ms
from quetzalward_core.placing._cost import Prompt
from quetzalward_core.placing._cost import whole_answer_ms
from quetzalward_core.placing._loads import GroupLoad
from quetzalward_core.placing._loads import smoothed_slowness
from quetzalward_core.placing._outcomes import choose_target
from quetzalward_core.placing._outcomes import OutcomeTracker

__all__ = [
    "Candidate",
    "ColdStartBudget",
    "ColdStartLimit",
    "GroupLoad",
    "Load",
    "MAX_RETRY_AFTER_MS",
    "MIN_RETRY_AFTER_MS",
    "OutcomeTracker",
    "Placement",
    "Prompt",
    "Refusal",
    "RetryBudget",
    "choose_group",
    "choose_target",
    "first_event_ms",
    "jittered_retry_after_ms",
    "spread_retry_after_ms",
    "pass_ms",
    "smoothed_slowness",
    "whole_answer_ms",
]

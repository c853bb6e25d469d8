"""Where a request goes, whether it is refused, and what repeats cost."""

from quetzalward_core.placing._budget import ColdLimit
from quetzalward_core.placing._budget import ColdStartBudget
from quetzalward_core.placing._budget import RepeatBudget
from quetzalward_core.placing._choice import Candidate
from quetzalward_core.placing._choice import choose_group
from quetzalward_core.placing._choice import MIN_RETRY_AFTER_MS
from quetzalward_core.placing._choice import Placement
from quetzalward_core.placing._choice import Refusal
from quetzalward_core.placing._choice import spread_return
from quetzalward_core.placing._cost import first_event_ms
from quetzalward_core.placing._cost import Load
from quetzalward_core.placing._cost import pass_ms
from quetzalward_core.placing._cost import Prompt
from quetzalward_core.placing._loads import GroupLoad
from quetzalward_core.placing._loads import smooth
from quetzalward_core.placing._outcomes import choose_target
from quetzalward_core.placing._outcomes import Outcomes

__all__ = [
    "Candidate",
    "ColdLimit",
    "ColdStartBudget",
    "GroupLoad",
    "Load",
    "MIN_RETRY_AFTER_MS",
    "Outcomes",
    "Placement",
    "Prompt",
    "Refusal",
    "RepeatBudget",
    "choose_group",
    "choose_target",
    "first_event_ms",
    "pass_ms",
    "smooth",
    "spread_return",
]

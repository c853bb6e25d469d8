"""Prompts of the soak, and what targets must not suffer from them."""

import itertools
import random

import attrs

from quetzalward_bench.soak import _crash_bounds
from quetzalward_standins import platform

# Number of ends with which the time begins in which nodes must learn of a
# part.
LEARNED_CRASHES = 5
# Parts that sound requests share.
_SOUND_PARTS = 8
# Share of requests that have a crashing part while there is one.
_CRASHING_SHARE = 0.15


@attrs.frozen
class Prompt:
    """The parts of a prompt, as sent, and the crashing one among them."""

    header: str
    crashing_part: str | None


class Prompts:
    """Draws prompts; no two have the same last part."""

    def __init__(self, rng: random.Random) -> None:
        """Start without crashing parts."""
        self._rng = rng
        self._crashing_parts: list[str] = []
        self._numbers = itertools.count(1)

    def add_crashing_part(self) -> str:
        """Let some of the prompts have a new part; return its id."""
        part = f"bad{next(self._numbers)}"
        self._crashing_parts.append(part)
        return part

    def remove_crashing_part(self, part: str) -> None:
        """Let no more prompts have a part."""
        self._crashing_parts.remove(part)

    def draw(self) -> Prompt:
        """Return a prompt of two or three parts."""
        rng = self._rng
        parts = [f"part{rng.randrange(_SOUND_PARTS)}"]
        crashing_part = None
        if self._crashing_parts and rng.random() < _CRASHING_SHARE:
            crashing_part = rng.choice(self._crashing_parts)
            parts.append(crashing_part)
        parts.append(f"own{next(self._numbers)}")
        header = ",".join(f"{part}:40" for part in parts)
        return Prompt(header, crashing_part)


def check(
    prompts_by_attempt: dict[str, Prompt],
    targets: platform.Targets,
    undisturbed_since_s: float,
) -> list[str]:
    """Return each part that was sent to targets too often after crashes."""
    cause_by_attempt = {
        attempt_id: prompt.crashing_part
        for attempt_id, prompt in prompts_by_attempt.items()
        if prompt.crashing_part is not None
    }
    return _crash_bounds.check(
        cause_by_attempt, LEARNED_CRASHES, targets, undisturbed_since_s
    )

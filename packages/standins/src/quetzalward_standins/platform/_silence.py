"""Targets that stand still for a time and then go on where they were."""

import asyncio
import time

import attrs

_POLL_INTERVAL_S = 0.01


@attrs.define
class Silence:
    """The time in which a target stands still."""

    target_id: str
    begin_s: float
    end_s: float


class Silences:
    """The silences of all targets, past and present."""

    def __init__(self) -> None:
        """Start without silences."""
        self.history: list[Silence] = []
        self._newest_by_target: dict[str, Silence] = {}

    def begin(self, target_id: str, seconds: float) -> None:
        """Let a target stand still; a silence under way is prolonged."""
        now_s = time.monotonic()
        silence = self._newest_by_target.get(target_id)
        if silence is not None and silence.end_s > now_s:
            silence.end_s = max(silence.end_s, now_s + seconds)
            return
        silence = Silence(target_id, now_s, now_s + seconds)
        self.history.append(silence)
        self._newest_by_target[target_id] = silence

    def end(self, target_id: str) -> None:
        """End a target's silence at once."""
        silence = self._newest_by_target.get(target_id)
        if silence is not None:
            silence.end_s = min(silence.end_s, time.monotonic())

    def is_silent(self, target_id: str) -> bool:
        """Tell whether a target stands still."""
        silence = self._newest_by_target.get(target_id)
        return silence is not None and time.monotonic() < silence.end_s

    def delay_s(self, target_ids: tuple[str, ...], since_s: float) -> float:
        """Return how long the most silent target stood still since a time."""
        now_s = time.monotonic()
        delay_s_by_id = dict.fromkeys(target_ids, 0.0)
        for silence in self.history:
            if silence.target_id in delay_s_by_id:
                delay_s_by_id[silence.target_id] += max(
                    0.0,
                    min(silence.end_s, now_s) - max(silence.begin_s, since_s),
                )
        return max(delay_s_by_id.values())

    async def wait(self, target_id: str) -> None:
        """Wait until a target goes on."""
        while self.is_silent(target_id):
            await asyncio.sleep(_POLL_INTERVAL_S)

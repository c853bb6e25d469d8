"""Builders of targets, and an independent model of what they said."""

import attrs

from quetzalward_core import fleet
from quetzalward_core import notices

IDS = ("t1", "t2")
STARTS_MS = (7, 8)
ZONES = ("z1", "z2")


def target(
    target_id: str = "t1",
    born_ms: int = 7,
    draining: bool = False,
    zone: str = "z1",
) -> fleet.Target:
    """Return a target; all of them have the same address."""
    address = fleet.Address("127.0.0.1", 80)
    return fleet.Target(target_id, "s", address, zone, draining, 0, born_ms)


@attrs.define
class Model:
    """Decides from all that was ever said, without an index."""

    # Targets that said that they leave.
    leaving: list[tuple[str, int]] = attrs.field(factory=list)
    # Begin and length of each rest, with its target.
    rests: list[tuple[tuple[str, int], int, int]] = attrs.field(factory=list)

    def verdict(
        self, entry: fleet.Target, evacuated: set[str], now_ms: int
    ) -> notices.Verdict:
        """Return whether a target may receive a request."""
        ends_ms = [
            begin_ms + rest_ms
            for key, begin_ms, rest_ms in self.rests
            if key == entry.key
            and rest_ms <= notices.MAX_REST_MS
            and begin_ms + rest_ms > now_ms
        ]
        if entry.key in self.leaving:
            return notices.Refused(notices.Reason.LEAVING)
        if entry.draining:
            return notices.Refused(notices.Reason.DRAINING)
        if entry.zone in evacuated:
            return notices.Refused(notices.Reason.EVACUATED)
        if ends_ms:
            return notices.Refused(notices.Reason.RESTING, max(ends_ms))
        return notices.Allowed()

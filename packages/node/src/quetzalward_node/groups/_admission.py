"""Admission of hosts, and removal of those that are gone."""

import typing

from quetzalward_core import agreement
from quetzalward_core import clock as clocks
from quetzalward_core import formation
from quetzalward_node.groups import _platform
from quetzalward_node.groups import _presence

# Removing a host of unknown zone is never urgent: it can be in no new group.
UNKNOWN_ZONE_REMOVAL_MS = 60_000
PROBE_INTERVAL_MS = 2_000
MAX_PROBES = 64

Probed = tuple[str, int]


class Admission:
    """Decides which hosts of a zone to probe, admit and remove.

    A host is admitted once its own engine answers, because the list also
    names hosts that are paused.
    """

    def __init__(self, zone: str, clock: clocks.Clock) -> None:
        """Start with no probe sent."""
        self._zone = zone
        self._clock = clock
        self._probed_ms: dict[Probed, clocks.Millis] = {}
        self._answered: set[Probed] = set()

    def reset(self) -> None:
        """Forget all probes."""
        self._probed_ms = {}
        self._answered = set()

    def to_probe(
        self,
        view: agreement.ControlView,
        listed: typing.Mapping[str, _platform.ListedHost],
    ) -> list[_platform.ListedHost]:
        """Return hosts to probe now."""
        now_ms = self._clock.now_ms()
        waiting = {
            (row.host, row.incarnation): row
            for row in listed.values()
            if self._needs_admission(view, row)
        }
        self._probed_ms = {
            key: at for key, at in self._probed_ms.items() if key in waiting
        }
        self._answered &= waiting.keys()
        due = []
        for key, row in sorted(waiting.items()):
            last_ms = self._probed_ms.get(key)
            recent = (
                last_ms is not None and now_ms - last_ms < PROBE_INTERVAL_MS
            )
            if key not in self._answered and not recent:
                due.append(row)
                self._probed_ms[key] = now_ms
            if len(due) == MAX_PROBES:
                break
        return due

    def _needs_admission(
        self, view: agreement.ControlView, row: _platform.ListedHost
    ) -> bool:
        """Tell whether a host of this zone is live and not admitted."""
        if row.zone != self._zone or row.state != "live":
            return False
        admitted = view.hosts_by_id.get(row.host)
        # A smaller incarnation than the admitted one is an old list.
        return admitted is None or admitted.incarnation < row.incarnation

    def answered(self, host: str, incarnation: int) -> None:
        """Note that a probed host answered."""
        self._answered.add((host, incarnation))

    def admissions(self) -> list[agreement.Entry]:
        """Return the records for hosts that answered."""
        return [
            agreement.HostAdmitted(host, incarnation)
            for host, incarnation in sorted(self._answered)
        ]

    def removals(
        self,
        view: agreement.ControlView,
        presence: _presence.Presence,
        first_zone: bool,
    ) -> list[agreement.Entry]:
        """Return the records for admitted hosts that are missing.

        The manager of the first zone also removes hosts whose zone nobody
        knows any more.
        """
        entries: list[agreement.Entry] = []
        for host, missing_ms in sorted(presence.absent().items()):
            admitted = view.hosts_by_id.get(host)
            if admitted is None:
                continue
            zone = presence.zone_of(host)
            mine = zone == self._zone
            unknown = zone is None and first_zone
            limit_ms = UNKNOWN_ZONE_REMOVAL_MS
            if mine:
                limit_ms = formation.REFORM_AFTER_MS
            if (mine or unknown) and missing_ms >= limit_ms:
                entries.append(
                    agreement.HostRemoved(host, admitted.incarnation)
                )
        return entries + self._suspect_removals(view, presence)

    def _suspect_removals(
        self,
        view: agreement.ControlView,
        presence: _presence.Presence,
    ) -> list[agreement.Entry]:
        """Return removals of listed hosts that do not answer.

        They are admitted again, as after a restart, once they answer.
        """
        entries: list[agreement.Entry] = []
        for (host, incarnation), missing_ms in presence.suspects().items():
            admitted = view.hosts_by_id.get(host)
            if admitted is None or admitted.incarnation != incarnation:
                continue
            if presence.zone_of(host) != self._zone:
                continue
            if missing_ms >= formation.REFORM_AFTER_MS:
                entries.append(agreement.HostRemoved(host, incarnation))
        return entries

"""Admission of hosts, and removal of missing ones."""

import typing

from quetzalward_core import agreement
from quetzalward_core import clock as clocks
from quetzalward_core import formation
from quetzalward_node.groups import _platform
from quetzalward_node.groups import _presence

# The removal of a host of unknown zone is not urgent, because no new group
# can contain it.
UNKNOWN_ZONE_REMOVAL_MS = 60_000
PROBE_INTERVAL_MS = 2_000
MAX_PROBES = 64

HostKey = tuple[str, int]


class Admission:
    """Decides which hosts of a zone to probe, admit and remove.

    A host is admitted once its own engine responds, because the host list
    also contains paused hosts.
    """

    def __init__(self, zone: str, clock: clocks.Clock) -> None:
        """Create the state without probes."""
        self._zone = zone
        self._clock = clock
        self._probed_ms: dict[HostKey, clocks.Millis] = {}
        self._responded: set[HostKey] = set()

    def reset(self) -> None:
        """Discard all probes."""
        self._probed_ms = {}
        self._responded = set()

    def hosts_to_probe(
        self,
        view: agreement.ControlView,
        listed: typing.Mapping[str, _platform.ListedHost],
    ) -> list[_platform.ListedHost]:
        """Return the hosts to probe now, and record the time of the probes."""
        now_ms = self._clock.now_ms()
        waiting = {
            (row.host, row.incarnation): row
            for row in listed.values()
            if self._needs_admission(view, row)
        }
        self._probed_ms = {
            key: at for key, at in self._probed_ms.items() if key in waiting
        }
        self._responded &= waiting.keys()
        due = []
        for key, row in sorted(waiting.items()):
            last_ms = self._probed_ms.get(key)
            recent = (
                last_ms is not None and now_ms - last_ms < PROBE_INTERVAL_MS
            )
            if key not in self._responded and not recent:
                due.append(row)
                self._probed_ms[key] = now_ms
            if len(due) == MAX_PROBES:
                break
        return due

    def _needs_admission(
        self, view: agreement.ControlView, row: _platform.ListedHost
    ) -> bool:
        """Return whether a host is live, in this zone and not admitted."""
        if row.zone != self._zone or row.state != "live":
            return False
        admitted = view.hosts_by_id.get(row.host)
        # A list with a smaller incarnation than the admitted one is outdated.
        return admitted is None or admitted.incarnation < row.incarnation

    def record_response(self, host: str, incarnation: int) -> None:
        """Record that a probed host responded."""
        self._responded.add((host, incarnation))

    def admissions(self) -> list[agreement.Entry]:
        """Return the records that admit the hosts that responded."""
        return [
            agreement.HostAdmitted(host, incarnation)
            for host, incarnation in sorted(self._responded)
        ]

    def removals(
        self,
        view: agreement.ControlView,
        presence: _presence.Presence,
        is_first_zone: bool,
    ) -> list[agreement.Entry]:
        """Return the records that remove admitted but missing hosts.

        The manager of the first zone also removes hosts of unknown zone.
        """
        entries: list[agreement.Entry] = []
        for host, missing_ms in sorted(presence.absent_ms().items()):
            admitted = view.hosts_by_id.get(host)
            if admitted is None:
                continue
            zone = presence.zone_of(host)
            in_own_zone = zone == self._zone
            unknown = zone is None and is_first_zone
            limit_ms = UNKNOWN_ZONE_REMOVAL_MS
            if in_own_zone:
                limit_ms = formation.REFORM_AFTER_MS
            if (in_own_zone or unknown) and missing_ms >= limit_ms:
                entries.append(
                    agreement.HostRemoved(host, admitted.incarnation)
                )
        return entries + self._suspect_removals(view, presence)

    def _suspect_removals(
        self,
        view: agreement.ControlView,
        presence: _presence.Presence,
    ) -> list[agreement.Entry]:
        """Return removals of listed hosts that do not respond.

        They are admitted again, as after a restart, once they respond.
        """
        entries: list[agreement.Entry] = []
        for (host, incarnation), missing_ms in presence.suspected_ms().items():
            admitted = view.hosts_by_id.get(host)
            if admitted is None or admitted.incarnation != incarnation:
                continue
            if presence.zone_of(host) != self._zone:
                continue
            if missing_ms >= formation.REFORM_AFTER_MS:
                entries.append(agreement.HostRemoved(host, incarnation))
        return entries

"""Presence of hosts, from the host list and from engine reports."""

import typing

import attrs

from quetzalward_core import agreement
from quetzalward_core import clock as clocks
from quetzalward_core import formation
from quetzalward_node.groups import _platform

# Older engine reports count as missing (docs/design.md, section 5).
REPORT_MAX_AGE_MS = 3_000
NEVER_MS = 2**40
# One evaluation of the plan longer than the hysteresis.
ABSENCE_SETTLED_MS = formation.REFORM_AFTER_MS + 1_000


@attrs.define
class HostLocation:
    """Zone, domain and engine of a host when it was last listed."""

    zone: str
    domain: str
    engine_url: str


class Presence:
    """Tracks hosts that are absent from the list or suspected missing.

    A host is suspected if its group's engine does not report it or does not
    respond. Durations count from the detection by this node.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        """Create the state without hosts."""
        self._clock = clock
        self._location_by_host: dict[str, HostLocation] = {}
        self._absent_since_ms: dict[str, clocks.Millis] = {}
        # Suspected listed hosts, by name and incarnation.
        self._suspect_since_ms: dict[tuple[str, int], clocks.Millis] = {}
        self._listing: _platform.HostListing | None = None
        self.change_count = 0

    def reset(self) -> None:
        """Discard absences, because this node stops tracking them."""
        self._absent_since_ms = {}
        self._suspect_since_ms = {}

    def observe(
        self,
        listing: _platform.HostListing | None,
        view: agreement.ControlView,
    ) -> None:
        """Update the state from the newest list and the fold."""
        now_ms = self._clock.now_ms()
        if listing is not None and listing is not self._listing:
            known_rows = self.listed()
            self._listing = listing
            # Most lists are equal to the one before, and a new plan takes
            # milliseconds at the target size.
            if listing.hosts_by_name != known_rows:
                self.change_count += 1
            for name, row in listing.hosts_by_name.items():
                self._location_by_host[name] = HostLocation(
                    row.zone, row.domain, row.engine_url
                )
        listed = self._listing.hosts_by_name if self._listing else {}
        known = set(view.hosts_by_id) | set(view.group_ids_by_host)
        absent = known - listed.keys()
        self._absent_since_ms = {
            name: self._absent_since_ms.get(name, now_ms) for name in absent
        }
        self._suspect_since_ms = {
            key: since_ms
            for key, since_ms in self._suspect_since_ms.items()
            if key[0] in listed and listed[key[0]].incarnation == key[1]
        }

    def list_age_ms(self) -> clocks.Millis:
        """Return the age of the list, or `NEVER_MS` without a list."""
        if self._listing is None:
            return NEVER_MS
        return self._clock.now_ms() - self._listing.as_of_ms

    def listed(self) -> typing.Mapping[str, _platform.ListedHost]:
        """Return the hosts of the newest list by name."""
        return self._listing.hosts_by_name if self._listing else {}

    def engine_url(self, host: str) -> str | None:
        """Return the URL that a host had when it was last listed."""
        location = self._location_by_host.get(host)
        return location.engine_url if location else None

    def zone_of(self, host: str) -> str | None:
        """Return the zone in which a host was last listed."""
        location = self._location_by_host.get(host)
        return location.zone if location else None

    def suspect(self, host: str, incarnation: int) -> None:
        """Record that an engine does not report a host or does not respond."""
        key = (host, incarnation)
        if key not in self._suspect_since_ms:
            self._suspect_since_ms[key] = self._clock.now_ms()
            self.change_count += 1

    def clear_suspicion(self, host: str, incarnation: int) -> None:
        """Record that a host is present."""
        if self._suspect_since_ms.pop((host, incarnation), None) is not None:
            self.change_count += 1

    def suspected_ms(self) -> dict[tuple[str, int], clocks.Millis]:
        """Return how long each host and incarnation has been suspected."""
        now_ms = self._clock.now_ms()
        return {
            key: now_ms - since_ms
            for key, since_ms in self._suspect_since_ms.items()
        }

    def has_recent_absence(self) -> bool:
        """Return whether the passing of time alone may change the plan.

        That is the case until a host has been missing long enough for its
        group to be formed again; after that, only other changes matter.
        """
        now_ms = self._clock.now_ms()
        starts_ms = [
            *self._absent_since_ms.values(),
            *self._suspect_since_ms.values(),
        ]
        return any(
            now_ms - since_ms <= ABSENCE_SETTLED_MS for since_ms in starts_ms
        )

    def absent_ms(self) -> dict[str, clocks.Millis]:
        """Return how long each known host has been absent from the list."""
        now_ms = self._clock.now_ms()
        return {
            name: now_ms - since_ms
            for name, since_ms in self._absent_since_ms.items()
        }

    def hosts(self, view: agreement.ControlView) -> dict[str, formation.Host]:
        """Return all hosts as input of a plan."""
        suspected_ms = self.suspected_ms()
        hosts = {}
        for name, row in self.listed().items():
            admitted = view.hosts_by_id.get(name)
            missing_ms = suspected_ms.get((name, row.incarnation))
            presence = formation.Presence.LIVE
            if missing_ms is not None:
                presence = formation.Presence.MISSING
            elif row.state != "live":
                presence = formation.Presence.LEAVING
            hosts[name] = formation.Host(
                name,
                row.zone,
                row.domain,
                row.incarnation,
                presence,
                missing_ms or 0,
                admitted is not None
                and admitted.incarnation == row.incarnation,
            )
        self._add_absent(view, hosts)
        return hosts

    def _add_absent(
        self,
        view: agreement.ControlView,
        hosts: dict[str, formation.Host],
    ) -> None:
        """Add the members of groups that are not in the list."""
        absent_ms = self.absent_ms()
        for name, group_id in view.group_ids_by_host.items():
            if name not in absent_ms:
                continue
            group = view.groups_by_id[group_id]
            incarnation = next(
                member.incarnation
                for member in group.hosts
                if member.host == name
            )
            hosts[name] = formation.Host(
                name,
                group.zone,
                group.domain,
                incarnation,
                formation.Presence.MISSING,
                absent_ms[name],
                False,
            )

"""Which hosts are there, from the host list and from engine reports."""

import typing

import attrs

from quetzalward_core import agreement
from quetzalward_core import clock as clocks
from quetzalward_core import formation
from quetzalward_node.groups import _platform

# Engine reports older than this count as missing (design page, section 5).
REPORT_MAX_AGE_MS = 3_000
NEVER_MS = 2**40
# One look at the plan more than the hysteresis needs.
SETTLED_MS = formation.REFORM_AFTER_MS + 1_000


@attrs.define
class HostPlace:
    """Where a host was when it was last listed."""

    zone: str
    domain: str
    engine_url: str


class Presence:
    """Follows hosts that are absent from the list or from their report.

    Absence counts from when this node first noticed it.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        """Start knowing nothing."""
        self._clock = clock
        self._places: dict[str, HostPlace] = {}
        self._absent_since: dict[str, clocks.Millis] = {}
        # Listed hosts that their group's engine does not see, by incarnation.
        self._suspect_since: dict[tuple[str, int], clocks.Millis] = {}
        self._listing: _platform.HostListing | None = None
        self.changes = 0

    def reset(self) -> None:
        """Forget absences, which this node stopped to follow."""
        self._absent_since = {}
        self._suspect_since = {}

    def observe(
        self,
        listing: _platform.HostListing | None,
        view: agreement.ControlView,
    ) -> None:
        """Take over the newest list."""
        now_ms = self._clock.now_ms()
        if listing is not None and listing is not self._listing:
            known_rows = self.listed()
            self._listing = listing
            # Most lists only confirm the one before, and a new plan costs
            # milliseconds at the target size.
            if listing.hosts_by_name != known_rows:
                self.changes += 1
            for name, row in listing.hosts_by_name.items():
                self._places[name] = HostPlace(
                    row.zone, row.domain, row.engine_url
                )
        listed = self._listing.hosts_by_name if self._listing else {}
        known = set(view.hosts_by_id) | set(view.group_ids_by_host)
        absent = known - listed.keys()
        self._absent_since = {
            name: self._absent_since.get(name, now_ms) for name in absent
        }
        self._suspect_since = {
            key: since
            for key, since in self._suspect_since.items()
            if key[0] in listed and listed[key[0]].incarnation == key[1]
        }

    def list_age_ms(self) -> clocks.Millis:
        """Return the age of the list's content."""
        if self._listing is None:
            return NEVER_MS
        return self._clock.now_ms() - self._listing.as_of_ms

    def listed(self) -> typing.Mapping[str, _platform.ListedHost]:
        """Return the rows of the newest list."""
        return self._listing.hosts_by_name if self._listing else {}

    def engine_url(self, host: str) -> str | None:
        """Return the URL that a host had when it was last listed."""
        place = self._places.get(host)
        return place.engine_url if place else None

    def zone_of(self, host: str) -> str | None:
        """Return the zone in which a host was last listed."""
        place = self._places.get(host)
        return place.zone if place else None

    def suspect(self, host: str, incarnation: int) -> None:
        """Note that a host's engine does not see it or does not answer."""
        key = (host, incarnation)
        if key not in self._suspect_since:
            self._suspect_since[key] = self._clock.now_ms()
            self.changes += 1

    def clear(self, host: str, incarnation: int) -> None:
        """Note that a host was seen."""
        if self._suspect_since.pop((host, incarnation), None) is not None:
            self.changes += 1

    def suspects(self) -> dict[tuple[str, int], clocks.Millis]:
        """Return how long each suspected host and incarnation is missing."""
        now_ms = self._clock.now_ms()
        return {
            key: now_ms - since for key, since in self._suspect_since.items()
        }

    def any_settling(self) -> bool:
        """Tell whether time alone may change the next plan.

        That is so until a missing host has been missing long enough for its
        group to be formed anew; from then on only other changes matter.
        """
        now_ms = self._clock.now_ms()
        starts = [*self._absent_since.values(), *self._suspect_since.values()]
        return any(now_ms - since <= SETTLED_MS for since in starts)

    def absent(self) -> dict[str, clocks.Millis]:
        """Return how long each known host is absent from the list."""
        now_ms = self._clock.now_ms()
        return {
            name: now_ms - since for name, since in self._absent_since.items()
        }

    def hosts(self, view: agreement.ControlView) -> dict[str, formation.Host]:
        """Return all hosts as a plan sees them."""
        suspects = self.suspects()
        hosts = {}
        for name, row in self.listed().items():
            admitted = view.hosts_by_id.get(name)
            missing_ms = suspects.get((name, row.incarnation))
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
        """Add members of groups that the list does not name."""
        absent = self.absent()
        for name, group_id in view.group_ids_by_host.items():
            if name not in absent:
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
                absent[name],
                False,
            )

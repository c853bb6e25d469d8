"""All hosts of the stand-in platform, the groups they form, and the faults.

A host belongs to at most one group, as a process on it can: an `assign` that
names a host of another group takes the host away, and that group's engine
fails.
"""

import collections
import threading
import time

import attrs

from quetzalward_core import clock
from quetzalward_standins import _http
from quetzalward_standins import _target

LIVE = "live"
LEAVING = "leaving"
DEAD = "dead"
# A request to a paused host waits at most this long for the host to resume.
MAX_PAUSE_S = 120
# Reports older than the lag by this much are dropped.
KEPT_REPORTS_MS = 1000
KEPT_LISTS = 1000


@attrs.frozen
class HostSpec:
    """Where one host is."""

    name: str
    zone: str
    domain: str


@attrs.define(eq=False)
class Host:
    """One accelerator host and what its process knows."""

    spec: HostSpec
    incarnation: int = 1
    state: str = LIVE
    paused: bool = False
    # Largest fencing token that an order has shown to this host.
    fencing: int = 0
    role: str = ""
    group: "Group | None" = None

    @property
    def present(self) -> bool:
        """Tell whether the host's process runs."""
        return self.state != DEAD and not self.paused


@attrs.define(eq=False)
class Group:
    """The hosts that an `assign` order reserved, and their engine."""

    target: _target.Target
    model: str
    members: list[tuple[Host, int]]
    reports: collections.deque[tuple[clock.Millis, dict[str, _http.Json]]]

    @property
    def first(self) -> Host:
        """Return the host whose URL serves the group."""
        return self.members[0][0]

    def holds(self, host: Host, incarnation: int) -> bool:
        """Tell whether a member is still this group's."""
        return host.group is self and host.incarnation == incarnation

    def present(self) -> list[tuple[Host, int]]:
        """Return the members that run and are still this group's."""
        return [
            (host, incarnation)
            for host, incarnation in self.members
            if host.present and self.holds(host, incarnation)
        ]

    @property
    def complete(self) -> bool:
        """Tell whether no member is missing."""
        return len(self.present()) == len(self.members)


@attrs.frozen
class Switches:
    """Fault switches of all engines and of the host list."""

    honours_fencing: bool = False
    report_lag_ms: int = 300
    hosts_lag_ms: int = 500
    # The host list answers 503.
    hosts_outage: bool = False
    # The host list keeps answering with what it had, and its age grows.
    hosts_frozen: bool = False
    # Clients (`/c/{client}` prefix) that the engines or the host list drop.
    cut_clients: list[str] = attrs.field(factory=list)
    hosts_cut_clients: list[str] = attrs.field(factory=list)


class Fleet:
    """The hosts, their groups and the host list."""

    def __init__(
        self,
        specs: list[HostSpec],
        settings: _target.EngineSettings,
        source: clock.Clock,
    ) -> None:
        """Start with every host live and in no group."""
        self.settings = settings
        self.clock = source
        self.lock = threading.RLock()
        self.resumed = threading.Condition(self.lock)
        self.hosts = {spec.name: Host(spec) for spec in specs}
        self.groups: dict[str, Group] = {}
        self._past_counts: collections.Counter[str] = collections.Counter()
        self.switches = Switches(
            honours_fencing=settings.honours_fencing,
            report_lag_ms=settings.report_lag_ms,
            hosts_lag_ms=settings.hosts_lag_ms,
        )
        self._stopped = threading.Event()
        self._base_url = ""
        self._frozen_ms: clock.Millis | None = None
        self._lists: collections.deque[tuple[clock.Millis, list[_http.Json]]]
        self._lists = collections.deque(maxlen=KEPT_LISTS)

    def publish(self, base_url: str) -> None:
        """Set the engines' URL, and start the host list and the reports."""
        self._base_url = base_url
        # The first list counts as old, so that readers see it at once.
        self._lists.append((self.clock.now_ms() - 3_600_000, self._listing()))
        threading.Thread(target=self._run_reports, daemon=True).start()

    def stop(self) -> None:
        """End the threads of the engines and of the reports."""
        self._stopped.set()
        with self.lock:
            for group in list(self.groups.values()):
                self.dissolve(group)

    def set_switches(self, switches: Switches) -> None:
        """Replace the switches."""
        with self.lock:
            if switches.hosts_frozen and self._frozen_ms is None:
                self._frozen_ms = self.clock.now_ms() - switches.hosts_lag_ms
            elif not switches.hosts_frozen:
                self._frozen_ms = None
            self.switches = switches

    def host_list(self, client: str = "") -> dict[str, _http.Json]:
        """Return the list of live and leaving hosts as of the lag ago.

        A named client gets engine URLs that carry its name, so that
        `cut_clients` can cut it off from the engines too.
        """
        with self.lock:
            now_ms = self.clock.now_ms()
            as_of_ms = now_ms - self.switches.hosts_lag_ms
            if self._frozen_ms is not None:
                as_of_ms = min(as_of_ms, self._frozen_ms)
            listing = self._lists[0][1]
            for changed_ms, candidate in self._lists:
                if changed_ms <= as_of_ms:
                    listing = candidate
            prefix = f"{self._base_url}{_http.CLIENT_PREFIX}{client}"
            hosts = [
                {
                    **entry,
                    "engine_url": (
                        f"{prefix if client else self._base_url}"
                        f"/h/{entry['host']}"
                    ),
                }
                for entry in listing
            ]
            return {"age_ms": now_ms - as_of_ms, "hosts": hosts}

    def report(self, host: Host) -> dict[str, _http.Json]:
        """Return the report of a host's group, as of about the lag ago."""
        with self.lock:
            group = host.group
            if group is None:
                return {"age_ms": 0, **self._empty_report(host)}
            now_ms = self.clock.now_ms()
            if self.switches.report_lag_ms == 0:
                return {"age_ms": 0, **self._full_report(group)}
            found = None
            for made_ms, report in group.reports:
                if made_ms <= now_ms - self.switches.report_lag_ms:
                    found = made_ms, report
            if found is None and group.reports:
                found = group.reports[0]
            made_ms, report = found or (now_ms, self._full_report(group))
            return {"age_ms": now_ms - made_ms, **report}

    def wait_until_present(self, host: Host, request: _http.Request) -> None:
        """Hold a request to a paused host; drop it if the host is dead."""
        with self.lock:
            deadline = time.monotonic() + MAX_PAUSE_S
            while host.paused and host.state != DEAD:
                self.resumed.wait(0.5)
                # An order that was received is carried out after the pause,
                # even if its sender has given up.
                waits = request.path.endswith("/orders")
                if time.monotonic() > deadline:
                    raise _http.DropConnection
                if not waits and request.is_closed():
                    raise _http.DropConnection
            if host.state == DEAD:
                raise _http.DropConnection

    def add_group(
        self, group_id: str, epoch: int, model: str, hosts: list[Host]
    ) -> Group:
        """Reserve hosts for a new group, taking them from older ones."""
        with self.lock:
            for host in hosts:
                if host.group:
                    self.remove_member(host)
            target = _target.Target(group_id, epoch, self.settings, self.clock)
            members = [(host, host.incarnation) for host in hosts]
            group = Group(target, model, members, collections.deque())
            former = self.groups.get(group_id)
            if former:
                self.dissolve(former)
            for host in hosts:
                host.group = group
            self.groups[group_id] = group
            return group

    def remove_member(self, host: Host) -> None:
        """Take a host out of its group, whose engine fails."""
        group = host.group
        host.group = None
        if group is None:
            return
        group.target.break_(lost=True)
        if all(member.group is not group for member, _ in group.members):
            self._forget(group)

    def dissolve(self, group: Group) -> None:
        """Free all hosts of a group."""
        with self.lock:
            for host, _ in group.members:
                if host.group is group:
                    host.group = None
            self._forget(group)

    def totals(self) -> collections.Counter[str]:
        """Return the counts of all targets that were ever formed."""
        with self.lock:
            counts = collections.Counter(self._past_counts)
            for group in self.groups.values():
                counts.update(group.target.counts)
            return counts

    def _forget(self, group: Group) -> None:
        group.target.close()
        self._past_counts.update(group.target.counts)
        if self.groups.get(group.target.id) is group:
            del self.groups[group.target.id]

    def kill(self, host: Host) -> None:
        """Fail a host; its process and its group's weights are lost."""
        with self.lock:
            host.state = DEAD
            host.paused = False
            if host.group:
                host.group.target.break_(lost=True)
            self._changed()

    def pause(self, host: Host) -> None:
        """Stop a host's process without closing its connections."""
        with self.lock:
            if not host.present:
                return
            host.paused = True
            group = host.group
            if group and group.first is host:
                group.target.freeze()
            elif group:
                group.target.break_(lost=False)

    def resume(self, host: Host) -> None:
        """Let a paused process go on, unaware of the pause."""
        with self.lock:
            host.paused = False
            if host.group and host.group.complete:
                host.group.target.resume()
            self.resumed.notify_all()

    def revive(self, host: Host) -> None:
        """Start a dead or paused host afresh with a new incarnation."""
        with self.lock:
            host.incarnation += 1
            self.remove_member(host)
            host.state = LIVE
            host.paused = False
            host.fencing = 0
            self._changed()

    def leave(self, host: Host) -> None:
        """Announce a host's planned removal on the host list."""
        with self.lock:
            if host.state == LIVE:
                host.state = LEAVING
                self._changed()

    def _changed(self) -> None:
        self._lists.append((self.clock.now_ms(), self._listing()))
        self.resumed.notify_all()

    def _listing(self) -> list[_http.Json]:
        return [
            {
                "host": host.spec.name,
                "zone": host.spec.zone,
                "domain": host.spec.domain,
                "incarnation": host.incarnation,
                "state": host.state,
            }
            for host in self.hosts.values()
            if host.state != DEAD
        ]

    def _run_reports(self) -> None:
        while not self._stopped.wait(self.settings.report_every_ms / 1000):
            with self.lock:
                groups = list(self.groups.values())
            for group in groups:
                with self.lock:
                    self._take_report(group)

    def _take_report(self, group: Group) -> None:
        now_ms = self.clock.now_ms()
        kept_ms = self.switches.report_lag_ms + KEPT_REPORTS_MS
        group.reports.append((now_ms, self._full_report(group)))
        while group.reports[0][0] < now_ms - kept_ms:
            group.reports.popleft()

    def _full_report(self, group: Group) -> dict[str, _http.Json]:
        return {
            "target": group.target.id,
            "epoch": group.target.epoch,
            "hosts": [
                {"host": host.spec.name, "incarnation": incarnation}
                for host, incarnation in group.present()
            ],
            **group.target.snapshot(),
        }

    def _empty_report(self, host: Host) -> dict[str, _http.Json]:
        return {
            "target": "",
            "epoch": 0,
            "hosts": [
                {"host": host.spec.name, "incarnation": host.incarnation}
            ],
            "state": "empty",
            "models": [],
            "running": 0,
            "waiting": 0,
            "kv_used": 0.0,
            "token_ms": self.settings.token_ms,
            "bearable": self.settings.bearable,
        }

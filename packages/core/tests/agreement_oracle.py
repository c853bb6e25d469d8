"""Independent implementation of the validity rules of control records.

The control fold is checked against it. It implements section 11 of the design
by searching lists of accepted entries, and shares only the decoder with the
fold.
"""

import typing

from quetzalward_core import agreement

NEXT_STATE_BY_EVENT_BY_STATE = {
    "forming": {"assigned": "loading", "host_lost": "broken"}
    | {"cancel": "unloading"},
    "loading": {"loaded": "serving", "load_failed": "broken"}
    | {"host_lost": "broken", "cancel": "unloading"},
    "serving": {"host_lost": "broken", "drain": "draining"}
    | {"reload": "loading"},
    "draining": {"drained": "unloading", "resume": "serving"}
    | {"host_lost": "broken"},
    "unloading": {"unloaded": "dissolved", "host_lost": "broken"},
    "broken": {"repair": "loading", "unload": "unloading"}
    | {"dissolve": "dissolved"},
}


class ControlOracle:
    """Determines whether each entry must be accepted."""

    def __init__(self) -> None:
        self.last_seq_by_writer: dict[str, int] = {}
        self.accepted: list[tuple[int, agreement.Entry]] = []
        # [group, epoch, hosts, lease, state] of groups not dissolved.
        self.groups: list[list[typing.Any]] = []

    def check(self, result: agreement.BatchResult, data: str) -> None:
        """Compare the fold's result for a batch with the expected one."""
        if result.void is agreement.VoidReason.MALFORMED:
            return
        batch = agreement.decode_batch(data)
        repeated = batch.seq <= self.last_seq_by_writer.get(batch.writer, 0)
        assert repeated == (
            result.void is not None
        ), "duplicate batch accepted, or new batch void"
        if repeated:
            return
        self.last_seq_by_writer[batch.writer] = batch.seq
        for got, entry in zip(result.results, batch.entries, strict=True):
            expected = self.is_valid(entry)
            took_effect = isinstance(got, agreement.Accepted)
            assert took_effect == expected, f"{entry} at {got}: {expected}"
            if expected:
                assert not isinstance(entry, agreement.Malformed)
                self.record_accepted(got.position, entry)

    def is_valid(self, entry: agreement.Entry | agreement.Malformed) -> bool:
        match entry:
            case agreement.ConfigProposed():
                return entry.base_revision == self.last_position(
                    lambda e: isinstance(e, agreement.ConfigProposed)
                )
            case agreement.ZoneSet():
                return entry.state == "out" or (
                    entry.state == "in"
                    and entry.basis == self.zone_changed(entry.zone)
                )
            case agreement.TargetDrainSet():
                return entry.draining or entry.basis == self.last_position(
                    lambda e: isinstance(e, agreement.TargetDrainSet)
                    and e.target == entry.target
                )
            case agreement.LeaseClaimed():
                return entry.expected_renewed == self.lease(entry.resource)[1]
            case agreement.LeaseRenewed() | agreement.LeaseReleased():
                epoch, _, holder = self.lease(entry.resource)
                return (epoch, holder) == (entry.epoch, entry.holder)
            case agreement.HostAdmitted():
                return entry.incarnation > self.incarnation(entry.host)
            case agreement.HostRemoved():
                return entry.incarnation == self.incarnation(entry.host)
            case agreement.NodeJoined() | agreement.SnapshotPart():
                return True
            case agreement.NodeLeft() | agreement.NodeExpired():
                return self.nonce(entry.name) == entry.nonce
            case agreement.GroupFormed():
                return self.can_form(entry)
            case agreement.GroupStateChanged():
                return self.can_change_state(entry)
        return False

    def last_position(
        self, matches: typing.Callable[[agreement.Entry], bool]
    ) -> int:
        positions = [p for p, entry in self.accepted if matches(entry)]
        return positions[-1] if positions else 0

    def zone_changed(self, zone: str) -> int:
        return self.last_position(
            lambda e: isinstance(e, agreement.ZoneSet) and e.zone == zone
        )

    def lease(self, resource: str) -> tuple[int, int, str]:
        """Return epoch, last renewal and holder, or `(0, 0, "")`."""
        current = (0, 0, "")
        for position, entry in self.accepted:
            match entry:
                case agreement.LeaseClaimed(resource=r) if r == resource:
                    current = (position, position, entry.holder)
                case agreement.LeaseRenewed(resource=r) if r == resource:
                    current = (current[0], position, current[2])
                case agreement.LeaseReleased(resource=r) if r == resource:
                    current = (0, 0, "")
        return current

    def incarnation(self, host: str) -> int:
        current = -1
        for _, entry in self.accepted:
            match entry:
                case agreement.HostAdmitted(host=h) if h == host:
                    current = entry.incarnation
                case agreement.HostRemoved(host=h) if h == host:
                    current = -1
        return current

    def nonce(self, name: str) -> str | None:
        current = None
        for _, entry in self.accepted:
            match entry:
                case agreement.NodeJoined(name=n) if n == name:
                    current = entry.nonce
                case agreement.NodeLeft(name=n) if n == name:
                    current = None
                case agreement.NodeExpired(name=n) if n == name:
                    current = None
        return current

    def can_form(self, entry: agreement.GroupFormed) -> bool:
        names = [member.host for member in entry.hosts]
        taken = [host for group in self.groups for host in group[2]]
        return (
            bool(names)
            and len(set(names)) == len(names)
            and entry.lease_epoch != 0
            and entry.lease_epoch == self.lease(entry.lease)[0]
            and entry.group not in [group[0] for group in self.groups]
            and not set(names) & set(taken)
            and all(
                member.incarnation == self.incarnation(member.host)
                for member in entry.hosts
            )
        )

    def can_change_state(self, entry: agreement.GroupStateChanged) -> bool:
        for group, epoch, _, lease, state in self.groups:
            if group == entry.group and epoch == entry.epoch:
                return (
                    entry.event in NEXT_STATE_BY_EVENT_BY_STATE[state]
                    and entry.lease_epoch != 0
                    and entry.lease_epoch == self.lease(lease)[0]
                )
        return False

    def record_accepted(self, position: int, entry: agreement.Entry) -> None:
        self.accepted.append((position, entry))
        if isinstance(entry, agreement.GroupFormed):
            hosts = [member.host for member in entry.hosts]
            self.groups.append(
                [entry.group, position, hosts, entry.lease, "forming"]
            )
        if isinstance(entry, agreement.GroupStateChanged):
            for group in self.groups:
                if group[0] == entry.group:
                    group[4] = NEXT_STATE_BY_EVENT_BY_STATE[group[4]][
                        entry.event
                    ]
            self.groups = [g for g in self.groups if g[4] != "dissolved"]

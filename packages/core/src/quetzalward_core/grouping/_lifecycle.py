"""Drives a group through its state chart, from joins to closing."""

from quetzalward_core import clock
from quetzalward_core import fleet
from quetzalward_core.grouping import _model
from quetzalward_core.grouping import _roster

# Interval at which unanswered orders are repeated; the repeat is answered
# "done" if the first one was executed.
RESEND_MS = 800
# Time in which a member joins if its previous group had the same model.
JOIN_MS = 200
# Time that running work has to finish before a closing head truncates it.
CLOSE_GRACE_MS = 2_500
# A group that is not open after this time is re-formed.
FORMING_TIMEOUT_MS = 8_000
# A stalled group whose members all answer is re-formed after this time; the
# engine itself detects a lost member only after several seconds.
STALL_TIMEOUT_MS = 1_000
# Stall reports further apart than this belong to different stalls.
STALL_REPORT_GAP_MS = 1_000
# Interval at which members without an entry are probed. They write no more
# entries, so only a probe or a stall shows that one has ended.
UNLISTED_PROBE_INTERVAL_MS = 1_000

READY_STATES = frozenset(
    (
        fleet.MemberState.READY,
        fleet.MemberState.OPEN,
        fleet.MemberState.CLOSING,
    )
)
_SERVING_STATES = frozenset(
    (fleet.MemberState.OPEN, fleet.MemberState.CLOSING)
)


class Lifecycle:
    """Advances the groups of a roster by the state of their members."""

    def __init__(self, roster: _roster.Roster) -> None:
        """Use a roster."""
        self._roster = roster

    def advance(
        self,
        engine: fleet.Engine,
        group: _model.Group,
        now_ms: clock.Millis,
        commands: list[_model.Command],
    ) -> None:
        """Advance a group and append the orders that are due."""
        if group.phase is _model.Phase.BROKEN:
            return
        if self._has_lost_member(group, now_ms):
            group.fail(now_ms)
            return
        for member in self._silent_members(group, now_ms):
            self._roster.probe(member, now_ms, commands)
        if group.phase is _model.Phase.FORMING:
            self._await_ready(engine, group, now_ms, commands)
        if group.phase is _model.Phase.OPENING:
            self._await_open(engine, group, now_ms, commands)
        if group.phase is _model.Phase.OPEN:
            self._check_open(group, now_ms, commands)
        if group.phase is _model.Phase.CLOSING:
            self._await_closed(group, now_ms, commands)

    def send_joins(
        self,
        group: _model.Group,
        now_ms: clock.Millis,
        commands: list[_model.Command],
    ) -> None:
        """Append joins for the members that have not accepted one."""
        for member in group.members:
            host = self._roster.host_by_id.get(member)
            if host is None or member in group.accepted_ms_by_id:
                continue
            if member in group.ready or host.is_in(group.name, group.epoch):
                continue
            if not host.is_free_for(group.name):
                continue
            sequence = self._roster.accepted_sequence(host, now_ms, commands)
            if sequence is None:
                continue
            if self._is_due(group, member, now_ms):
                commands.append(
                    _model.Join(
                        member,
                        group.name,
                        group.epoch,
                        group.model,
                        group.members,
                        sequence,
                    )
                )

    def handle_stall(
        self,
        group: _model.Group,
        now_ms: clock.Millis,
        commands: list[_model.Command],
    ) -> None:
        """Handle a report that an open group emits no events.

        Its members are probed. If all of them answer and the group still
        emits nothing, it is re-formed from the same members, because one of
        them may have lost its connection to the head.
        """
        if group.phase is not _model.Phase.OPEN:
            return
        last_ms = group.stall_reported_ms
        if last_ms is None or now_ms - last_ms > STALL_REPORT_GAP_MS:
            group.stalled_ms = now_ms
            group.had_silent_member = False
        group.stall_reported_ms = now_ms
        if self._silent_members(group, now_ms):
            group.had_silent_member = True
        limit_ms = STALL_TIMEOUT_MS
        if group.had_silent_member:
            # A member that stood still needs time to go on.
            limit_ms += _roster.MAX_SILENCE_MS
        if now_ms - (group.stalled_ms or now_ms) > limit_ms:
            group.fail(now_ms)
            return
        for member in group.members:
            self._roster.probe(member, now_ms, commands)

    def _silent_members(
        self, group: _model.Group, now_ms: clock.Millis
    ) -> list[str]:
        """Return the members that accept probes but do not answer them."""
        return [
            member
            for member in group.members
            if self._roster.is_silent(member, now_ms)
        ]

    def _has_lost_member(
        self, group: _model.Group, now_ms: clock.Millis
    ) -> bool:
        for member in group.members:
            host = self._roster.host_by_id.get(member)
            if host is None:
                return True
            is_suspect = now_ms < host.suspect_until_ms
            if is_suspect and not self._roster.is_producing(group):
                return True
            if host.target.born_ms != group.born_by_id[member]:
                return True
            if member in group.ready and not host.is_in(
                group.name, group.epoch
            ):
                return True
        return False

    def _await_ready(
        self,
        engine: fleet.Engine,
        group: _model.Group,
        now_ms: clock.Millis,
        commands: list[_model.Command],
    ) -> None:
        for member in group.members:
            if self._roster.member_state(group, member) in READY_STATES:
                group.ready.add(member)
            else:
                report_delay_ms = JOIN_MS + engine.report_lag_ms
                self._probe_accepted(
                    group, member, report_delay_ms, now_ms, commands
                )
        if group.ready.issuperset(group.members):
            group.step("all_ready", now_ms)
            group.accepted_ms_by_id.clear()
        elif now_ms - group.since_ms > FORMING_TIMEOUT_MS:
            group.fail(now_ms)

    def _await_open(
        self,
        engine: fleet.Engine,
        group: _model.Group,
        now_ms: clock.Millis,
        commands: list[_model.Command],
    ) -> None:
        state = self._roster.member_state(group, group.head)
        if state is fleet.MemberState.OPEN:
            group.step("opened", now_ms)
            return
        waited_ms = now_ms - group.since_ms
        if state is fleet.MemberState.BROKEN or waited_ms > FORMING_TIMEOUT_MS:
            group.fail(now_ms)
            return
        report_delay_ms = engine.form_ms + engine.report_lag_ms
        self._probe_accepted(
            group, group.head, report_delay_ms, now_ms, commands
        )
        if self._is_due(group, group.head, now_ms):
            commands.append(_model.Open(group.head, group.name, group.epoch))

    def _probe_accepted(
        self,
        group: _model.Group,
        member: str,
        report_delay_ms: clock.Millis,
        now_ms: clock.Millis,
        commands: list[_model.Command],
    ) -> None:
        """Probe a member once a report should show the change.

        That is `report_delay_ms` after it accepted the order. An earlier
        report shows no change, delays the next probe, and takes precedence
        over an entry that arrives in between.
        """
        accepted_ms = group.accepted_ms_by_id.get(member)
        if accepted_ms is not None and now_ms >= accepted_ms + report_delay_ms:
            due_ms = accepted_ms + report_delay_ms
            self._roster.probe(member, now_ms, commands, due_ms)

    def _probe_unlisted(
        self,
        group: _model.Group,
        now_ms: clock.Millis,
        commands: list[_model.Command],
    ) -> None:
        """Probe the members of an open group that have no entry."""
        for member in group.members:
            host = self._roster.host_by_id[member]
            if host.unlisted and (
                host.probed_ms is None
                or now_ms - host.probed_ms >= UNLISTED_PROBE_INTERVAL_MS
            ):
                self._roster.probe(member, now_ms, commands)

    def _check_open(
        self,
        group: _model.Group,
        now_ms: clock.Millis,
        commands: list[_model.Command],
    ) -> None:
        state = self._roster.member_state(group, group.head)
        if state is fleet.MemberState.BROKEN:
            group.fail(now_ms)
        elif state is fleet.MemberState.READY:
            # An order to close the group was executed late.
            group.step("closed_late", now_ms)
        elif any(
            self._roster.host_by_id[member].target.draining
            for member in group.members
        ):
            group.step("member_leaving", now_ms)
        else:
            self._probe_unlisted(group, now_ms, commands)

    def _await_closed(
        self,
        group: _model.Group,
        now_ms: clock.Millis,
        commands: list[_model.Command],
    ) -> None:
        state = self._roster.member_state(group, group.head)
        if state not in _SERVING_STATES:
            group.step("closed", now_ms)
            return
        truncate = now_ms - group.since_ms > CLOSE_GRACE_MS
        if self._is_due(group, group.head, now_ms):
            commands.append(
                _model.Close(group.head, group.name, group.epoch, truncate)
            )

    @staticmethod
    def _is_due(
        group: _model.Group, target_id: str, now_ms: clock.Millis
    ) -> bool:
        """Tell whether an order is due; if so, record it as sent."""
        last_sent_ms = group.ordered_ms_by_id.get(target_id)
        if last_sent_ms is not None and now_ms - last_sent_ms < RESEND_MS:
            return False
        group.ordered_ms_by_id[target_id] = now_ms
        return True

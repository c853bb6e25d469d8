"""Moves one group along its chart, from joins to its end."""

from quetzalward_core import clock
from quetzalward_core import fleet
from quetzalward_core.grouping import _model
from quetzalward_core.grouping import _roster

# An order without an answer is repeated after this time; the repeat answers
# "done" if the first was carried out.
RESEND_MS = 800
# A member that was last in a group of the same model joins in this time.
JOIN_MS = 200
# Running work may end within this time before a closing head is cut short.
CLOSE_WAIT_MS = 2_500
# A group that is not open after this time is formed anew.
FORMING_LIMIT_MS = 8_000
# A silent group whose members all answer is formed anew after this time;
# the engine itself notices a lost member only after several seconds.
STALL_PATIENCE_MS = 1_000
# Reports of a stall further apart than this are about different stalls.
STALL_MEMORY_MS = 1_000

READY_STATES = frozenset(
    (
        fleet.MemberState.READY,
        fleet.MemberState.OPEN,
        fleet.MemberState.CLOSING,
    )
)
_TAKING_STATES = frozenset((fleet.MemberState.OPEN, fleet.MemberState.CLOSING))


class Lifecycle:
    """Advances the groups of a roster by what their members report."""

    def __init__(self, roster: _roster.Roster) -> None:
        """Work on a roster."""
        self._roster = roster

    def advance(
        self,
        engine: fleet.Engine,
        group: _model.Group,
        now_ms: clock.Millis,
        commands: list[_model.Command],
    ) -> None:
        """Move a group on and return the orders that are due."""
        if group.phase is _model.Phase.BROKEN:
            return
        if self._has_lost_member(group, now_ms):
            group.fail(now_ms)
            return
        if group.phase is _model.Phase.FORMING:
            self._await_ready(engine, group, now_ms, commands)
        if group.phase is _model.Phase.OPENING:
            self._await_open(engine, group, now_ms, commands)
        if group.phase is _model.Phase.OPEN:
            self._watch_open(group, now_ms)
        if group.phase is _model.Phase.CLOSING:
            self._await_closed(group, now_ms, commands)

    def send_joins(
        self,
        group: _model.Group,
        now_ms: clock.Millis,
        commands: list[_model.Command],
    ) -> None:
        """Order the members that have not accepted it to join."""
        for member in group.members:
            host = self._roster.host_by_id.get(member)
            if host is None or member in group.accepted_ms_by_id:
                continue
            if member in group.ready or host.is_in(group.name, group.epoch):
                continue
            if not host.is_free_for(group.name):
                continue
            sequence = self._roster.sequence_of(host, now_ms, commands)
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

    def stalled(
        self,
        group: _model.Group,
        now_ms: clock.Millis,
        commands: list[_model.Command],
    ) -> None:
        """Take word that an open group makes no events; ask its members.

        If all of them answer and the group stays silent, it is formed anew
        from the same members: one of them may have lost the head.
        """
        if group.phase is not _model.Phase.OPEN:
            return
        last_ms = group.stall_reported_ms
        if last_ms is None or now_ms - last_ms > STALL_MEMORY_MS:
            group.stalled_ms = now_ms
        group.stall_reported_ms = now_ms
        if now_ms - (group.stalled_ms or now_ms) > STALL_PATIENCE_MS:
            group.fail(now_ms)
            return
        for member in group.members:
            self._roster.probe(member, now_ms, commands)

    def _has_lost_member(
        self, group: _model.Group, now_ms: clock.Millis
    ) -> bool:
        for member in group.members:
            host = self._roster.host_by_id.get(member)
            if host is None:
                return True
            suspected = now_ms < host.suspect_until_ms
            if suspected and not self._roster.is_producing(group):
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
                shown_ms = JOIN_MS + engine.report_lag_ms
                self._probe_accepted(group, member, shown_ms, now_ms, commands)
        if group.ready.issuperset(group.members):
            group.step("all_ready", now_ms)
            group.accepted_ms_by_id.clear()
        elif now_ms - group.since_ms > FORMING_LIMIT_MS:
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
        if state is fleet.MemberState.BROKEN or waited_ms > FORMING_LIMIT_MS:
            group.fail(now_ms)
            return
        shown_ms = engine.form_ms + engine.report_lag_ms
        self._probe_accepted(group, group.head, shown_ms, now_ms, commands)
        if self._is_due(group, group.head, now_ms):
            commands.append(_model.Open(group.head, group.name, group.epoch))

    def _probe_accepted(
        self,
        group: _model.Group,
        member: str,
        shown_ms: clock.Millis,
        now_ms: clock.Millis,
        commands: list[_model.Command],
    ) -> None:
        """Ask a member for its state once a report should show the change.

        That is `shown_ms` after it accepted the order. A look before tells
        nothing, puts the next one off, and counts as newer than the entry
        that comes meanwhile.
        """
        accepted_ms = group.accepted_ms_by_id.get(member)
        if accepted_ms is not None and now_ms >= accepted_ms + shown_ms:
            due_ms = accepted_ms + shown_ms
            self._roster.probe(member, now_ms, commands, due_ms)

    def _watch_open(self, group: _model.Group, now_ms: clock.Millis) -> None:
        state = self._roster.member_state(group, group.head)
        if state is fleet.MemberState.BROKEN:
            group.fail(now_ms)
        elif state is fleet.MemberState.READY:
            # An order to close it was carried out late.
            group.step("closed_late", now_ms)
        elif any(
            self._roster.host_by_id[member].target.draining
            for member in group.members
        ):
            group.step("member_leaving", now_ms)

    def _await_closed(
        self,
        group: _model.Group,
        now_ms: clock.Millis,
        commands: list[_model.Command],
    ) -> None:
        state = self._roster.member_state(group, group.head)
        if state not in _TAKING_STATES:
            group.step("closed", now_ms)
            return
        late = now_ms - group.since_ms > CLOSE_WAIT_MS
        if self._is_due(group, group.head, now_ms):
            commands.append(
                _model.Close(group.head, group.name, group.epoch, late)
            )

    @staticmethod
    def _is_due(
        group: _model.Group, target_id: str, now_ms: clock.Millis
    ) -> bool:
        """Tell whether an order is due, and note that it goes out."""
        last = group.ordered_ms_by_id.get(target_id)
        if last is not None and now_ms - last < RESEND_MS:
            return False
        group.ordered_ms_by_id[target_id] = now_ms
        return True

"""Shares evidence of crashing prompts between nodes, and the blocks."""

import hashlib
import itertools
import json
import typing

from quetzalward_core import clock
from quetzalward_core import coordination
from quetzalward_core import quarantine
from quetzalward_gateway import _ports
from quetzalward_gateway import _runtime

# Time for which a node repeats a crash in its reports. After a change of the
# holder it sends all that it has for as long.
REPORT_MS = 3_000
# Crashes and settled parts in one report, which must fit into a datagram.
MAX_REPORTED_CRASHES = 24
MAX_REPORTED_PARTS = 128
# Interval at which a node reports while the holder asks about suspects. They
# are common for a moment after an outage, and few nodes know more by then.
ANSWER_INTERVAL_MS = 250
# Time for which a changed view is repeated in each interval.
REPEAT_MS = 1_500
# Interval of unchanged views with blocks, for nodes that have just started.
KEEPALIVE_MS = 1_000
# Time, beyond a message of the holder, to report settled answers.
ANSWER_MARGIN_MS = 100
CONCLUDE_INTERVAL_MS = 100
EXPIRY_INTERVAL_MS = 1_000
# Key prefix of the blocks in the topic of the election, which the holder reads
# each second anyway.
KEY_PREFIX = "block/"
_KEY_BYTES = 12


def record_key(parts: frozenset[str]) -> str:
    """Return the key of a block's record."""
    # Parts may be any JSON strings, also such as are no Unicode text.
    text = "\n".join(sorted(parts)).encode("utf-8", "surrogatepass")
    digest = hashlib.blake2b(text, digest_size=_KEY_BYTES)
    return KEY_PREFIX + digest.hexdigest()


class QuarantineControl:
    """Reports this node's evidence; as the holder, concludes and blocks."""

    def __init__(self, runtime: _runtime.Runtime, node: str) -> None:
        """Start without a term."""
        self._runtime = runtime
        self._node = node
        self._evidence = runtime.state.evidence
        self._quarantine = runtime.state.quarantine
        self._correlator: quarantine.Correlator | None = None
        # The holder's blocks, `None` before its first view of the term.
        self._holder_blocks: frozenset[frozenset[str]] | None = None
        self._term = -1
        self._term_began_ms: clock.Millis = 0
        self._reported_ms: clock.Millis = 0
        # As the holder.
        self._is_urgent = False
        self._concluded_ms: clock.Millis = 0
        self._changed_ms: clock.Millis = 0
        self._sent_ms: clock.Millis = 0
        self._expired_ms: clock.Millis = 0
        self._suspects: tuple[str, ...] = ()
        # Era of the store in which it was seen which blocks it has.
        self._era = coordination.UNKNOWN_ERA
        # Keys of dropped blocks that the store still has.
        self._dropped_keys: list[str] = []

    # As any node.

    def follow_term(self, term: int, now_ms: clock.Millis) -> None:
        """Send all evidence again if a new holder coordinates."""
        if term != self._term:
            self._term = term
            self._term_began_ms = now_ms
            self._holder_blocks = None

    def report(
        self, term: int, now_ms: clock.Millis
    ) -> coordination.CrashReport | None:
        """Return the evidence for the holder, `None` if there is none."""
        is_new_term = now_ms - self._term_began_ms <= REPORT_MS
        since_ms = 0 if is_new_term else now_ms - REPORT_MS
        crashes = self._evidence.crashes_since(since_ms)
        # Those that weigh most, and of them the newest.
        crashes.sort(key=lambda crash: (-crash.weight, -crash.at_ms))
        del crashes[MAX_REPORTED_CRASHES:]
        known = self._holder_blocks or frozenset()
        blocks = tuple(
            tuple(sorted(block.parts))
            for block in self._quarantine.blocks
            if not block.saved and block.parts not in known
        )
        is_asked = (
            bool(self._quarantine.suspects)
            and now_ms - self._reported_ms >= ANSWER_INTERVAL_MS
        )
        if not crashes and not is_asked and not blocks:
            return None
        self._reported_ms = now_ms
        parts = dict.fromkeys(self._quarantine.suspects)
        for crash in crashes:
            parts.update(dict.fromkeys(crash.parts))
        sound = [
            (part, self._evidence.sound_ms(part))
            for part in itertools.islice(parts, MAX_REPORTED_PARTS)
        ]
        return coordination.CrashReport(
            self._node,
            term,
            tuple(
                coordination.CrashRow(
                    crash.request,
                    crash.target,
                    crash.parts,
                    crash.weight,
                    now_ms - crash.at_ms,
                )
                for crash in crashes
            ),
            tuple(
                coordination.SoundRow(part, now_ms - sound_ms)
                for part, sound_ms in sound
                if sound_ms is not None
            ),
            self._evidence.sound_counts(now_ms),
            blocks,
        )

    def apply_view(self, view: coordination.QuarantineView) -> None:
        """Apply the holder's suspects and blocks; its term was checked."""
        self._follow_era()
        state_quarantine = self._quarantine
        state_quarantine.suspects = frozenset(view.suspects)
        listed = {frozenset(row.parts): row.saved for row in view.blocks}
        for block in state_quarantine.blocks:
            if block.saved and block.parts not in listed:
                self._remove(block.parts, "the holder no longer lists it")
        known = {block.parts for block in state_quarantine.blocks}
        for parts, saved in listed.items():
            state_quarantine.add(quarantine.Block(parts))
            state_quarantine.set_saved(parts, saved)
            if parts not in known:
                self._runtime.log.event("prompt_blocked", parts=sorted(parts))
        self._holder_blocks = frozenset(listed)

    # As the holder.

    def begin_term(self, now_ms: clock.Millis) -> None:
        """Start to conclude from the evidence of all nodes."""
        self._correlator = quarantine.Correlator(self._quarantine)
        self._changed_ms = now_ms
        self._suspects = ()

    def end_term(self) -> None:
        """Stop concluding."""
        self._correlator = None

    def record(
        self, report: coordination.CrashReport, now_ms: clock.Millis
    ) -> None:
        """Record a node's evidence."""
        correlator = self._correlator
        if correlator is None:
            return
        for row in report.crashes:
            correlator.add_crash(
                quarantine.Crash(
                    row.request,
                    row.target,
                    row.parts,
                    row.weight,
                    now_ms - row.age_ms,
                    report.node,
                )
            )
        for sound in report.sound:
            correlator.add_sound(sound.part, now_ms - sound.age_ms)
        correlator.add_service(report.node, report.sound_counts, now_ms)
        for parts in report.blocks:
            if self._quarantine.blocking(parts) is None:
                self._add(frozenset(parts), now_ms)

    def run(self, now_ms: clock.Millis, message_interval_ms: float) -> None:
        """Conclude from the evidence; call it each tick of the holder."""
        correlator = self._correlator
        if correlator is None:
            return
        if now_ms - self._concluded_ms < CONCLUDE_INTERVAL_MS:
            return
        self._concluded_ms = now_ms
        own = self.report(self._term, now_ms)
        if own is not None:
            self.record(own, now_ms)
        if now_ms - self._expired_ms >= EXPIRY_INTERVAL_MS:
            self._expired_ms = now_ms
            correlator.expire(now_ms)
        suspects = correlator.suspects(now_ms)
        if suspects != self._suspects:
            self._suspects = suspects
            self._quarantine.suspects = frozenset(suspects)
            self._changed_ms = now_ms
        answer_ms = message_interval_ms + ANSWER_INTERVAL_MS + ANSWER_MARGIN_MS
        parts = correlator.find(now_ms, answer_ms)
        if parts is not None:
            self._conclude(correlator, parts, now_ms)

    def _conclude(
        self,
        correlator: quarantine.Correlator,
        parts: frozenset[str],
        now_ms: clock.Millis,
    ) -> None:
        crashes = correlator.explain(parts)
        self._runtime.log.event(
            "crashing_prompt_found",
            parts=sorted(parts),
            crashed_targets=len({crash.target for crash in crashes}),
            requests=len({crash.request for crash in crashes}),
            nodes=sorted({crash.node for crash in crashes}),
            oldest_ms=now_ms - min(crash.at_ms for crash in crashes),
            newest_ms=now_ms - max(crash.at_ms for crash in crashes),
            last_sound_ms=[
                None if sound_ms is None else now_ms - sound_ms
                for sound_ms in map(correlator.sound_ms, sorted(parts))
            ],
        )
        self._add(parts, now_ms)

    def _add(self, parts: frozenset[str], now_ms: clock.Millis) -> None:
        self._changed_ms = now_ms
        self._is_urgent = True
        self._runtime.metrics.count("blocked_prompts")
        dropped = self._quarantine.add(quarantine.Block(parts))
        if dropped is not None:
            self._dropped_keys.append(record_key(dropped.parts))
            self._runtime.log.event(
                "prompt_released",
                parts=sorted(dropped.parts),
                reason=f"there are more than {quarantine.MAX_BLOCKS} blocks",
            )

    def _remove(self, parts: frozenset[str], reason: str) -> None:
        self._quarantine.remove(parts)
        self._runtime.log.event(
            "prompt_released", parts=sorted(parts), reason=reason
        )

    def view_due(
        self, term: int, now_ms: clock.Millis
    ) -> coordination.QuarantineView | None:
        """Return the view if it is due to be sent."""
        blocks = self._quarantine.blocks
        if now_ms - self._changed_ms > REPEAT_MS:
            is_needed = blocks or self._suspects
            if not is_needed or now_ms - self._sent_ms < KEEPALIVE_MS:
                return None
        self._sent_ms = now_ms
        self._is_urgent = False
        return coordination.QuarantineView(
            self._node,
            term,
            self._suspects,
            tuple(
                coordination.BlockRow(tuple(sorted(b.parts)), b.saved)
                for b in blocks
            ),
        )

    @property
    def is_urgent(self) -> bool:
        """Tell whether there is a new block that has not been sent yet."""
        return self._is_urgent

    # Records of the store.

    def apply_records(
        self, records: typing.Iterable[_ports.Record], is_holder: bool
    ) -> None:
        """Apply the blocks in the store; an operator may have removed some."""
        stored: set[frozenset[str]] = set()
        for record in records:
            if not record.key.startswith(KEY_PREFIX) or record.value is None:
                continue
            try:
                parts = json.loads(record.value)["parts"]
                if not isinstance(parts, list):
                    raise TypeError("parts is not a list")
                stored.add(frozenset(str(part) for part in parts))
            except (ValueError, KeyError, TypeError, RecursionError) as error:
                self._runtime.log.event(
                    "block_unreadable", key=record.key, reason=str(error)
                )
        stored.discard(frozenset())
        self._follow_era()
        known = {block.parts: block for block in self._quarantine.blocks}
        for parts in sorted(stored, key=sorted):
            if parts not in known:
                self._runtime.log.event("prompt_blocked", parts=sorted(parts))
            self._quarantine.add(quarantine.Block(parts, True))
        if not is_holder:
            return
        for parts, block in known.items():
            if block.saved and parts not in stored:
                self._remove(parts, "its record was removed")
        if set(known) != {b.parts for b in self._quarantine.blocks}:
            self._changed_ms = self._runtime.now_ms()

    def _follow_era(self) -> None:
        """After a restore of the store, expect no block to be saved.

        The holder writes those again that the store lacks; they were not
        lifted by an operator.
        """
        era = self._runtime.store.era.number
        if era == self._era:
            return
        if self._era != coordination.UNKNOWN_ERA:
            for block in self._quarantine.blocks:
                self._quarantine.set_saved(block.parts, False)
            self._changed_ms = self._runtime.now_ms()
        self._era = era

    def next_write(self) -> tuple[str, bytes] | None:
        """Return key and value of a record to append; no value deletes."""
        if self._dropped_keys:
            return self._dropped_keys[0], b""
        for block in self._quarantine.blocks:
            if not block.saved:
                value = {
                    "parts": sorted(block.parts),
                    "since_ms": self._runtime.time.wall_ms(),
                }
                return record_key(block.parts), json.dumps(value).encode()
        return None

    def confirm_write(self, key: str) -> None:
        """Record that a record was appended."""
        if key in self._dropped_keys:
            self._dropped_keys.remove(key)
            return
        for block in self._quarantine.blocks:
            if record_key(block.parts) == key:
                self._quarantine.add(quarantine.Block(block.parts, True))

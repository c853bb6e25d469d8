"""Shares evidence of crashing requests between nodes, and the blocks."""

import hashlib
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
# Crashes in one report, and characters of their traits and of those that
# settled, which must fit into a datagram. The rest follows in later reports.
MAX_REPORTED_CRASHES = 24
MAX_REPORTED_CHARS = 20_000
MAX_SOUND_CHARS = 12_000
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
# Time for which what was held stays so in a new term: all nodes send their
# evidence again and answer about the suspects.
HOLDS_KEPT_MS = 5_000
EXPIRY_INTERVAL_MS = 1_000
# Key prefix of the blocks in the topic of the election, which the holder reads
# each second anyway.
KEY_PREFIX = "block/"
_KEY_BYTES = 12
# Separates the service from the target's life in a report. Nodes of an older
# version take both together for the target.
_SERVICE_SEPARATOR = "\t"


def record_key(traits: frozenset[str]) -> str:
    """Return the key of a block's record."""
    # Traits may be any JSON strings, also such as are no Unicode text.
    text = "\n".join(sorted(traits)).encode("utf-8", "surrogatepass")
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
        self._trials = runtime.state.trials
        self._correlator: quarantine.Correlator | None = None
        # The holder's blocks, `None` before its first view of the term.
        self._holder_blocks: frozenset[frozenset[str]] | None = None
        self._term = -1
        self._term_began_ms: clock.Millis = 0
        self._reported_ms: clock.Millis = 0
        # How often a recent crash was reported, by request and target.
        self._report_count_by_crash: dict[tuple[str, str], int] = {}
        # As the holder.
        self._is_urgent = False
        self._concluded_ms: clock.Millis = 0
        self._changed_ms: clock.Millis = 0
        self._sent_ms: clock.Millis = 0
        self._expired_ms: clock.Millis = 0
        self._holds_changed_ms: clock.Millis = 0
        self._holds_sent_ms: clock.Millis = 0
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
        crashes = self._crashes_to_report(since_ms)
        known = self._holder_blocks or frozenset()
        blocks = tuple(
            tuple(sorted(block.traits))
            for block in self._quarantine.blocks
            if not block.saved and block.traits not in known
        )
        is_asked = (
            bool(self._quarantine.suspects)
            and now_ms - self._reported_ms >= ANSWER_INTERVAL_MS
        )
        if not crashes and not is_asked and not blocks:
            return None
        self._reported_ms = now_ms
        return coordination.CrashReport(
            self._node,
            term,
            tuple(
                coordination.CrashRow(
                    crash.request,
                    f"{crash.service}{_SERVICE_SEPARATOR}{crash.target}",
                    crash.traits,
                    crash.weight,
                    now_ms - crash.at_ms,
                )
                for crash in crashes
            ),
            self._sound_rows(crashes, now_ms),
            self._evidence.sound_counts(now_ms),
            blocks,
        )

    def _crashes_to_report(
        self, since_ms: clock.Millis
    ) -> list[quarantine.Crash]:
        """Return those that weigh most and were reported least often."""
        crashes = self._evidence.crashes_since(since_ms)
        counts = {
            (crash.request, crash.target): self._report_count_by_crash.get(
                (crash.request, crash.target), 0
            )
            for crash in crashes
        }
        crashes.sort(
            key=lambda crash: (
                counts[crash.request, crash.target],
                -crash.weight,
                -crash.at_ms,
            )
        )
        reported: list[quarantine.Crash] = []
        chars = 0
        for crash in crashes[:MAX_REPORTED_CRASHES]:
            chars += sum(map(len, crash.traits))
            if reported and chars > MAX_REPORTED_CHARS:
                break
            reported.append(crash)
            counts[crash.request, crash.target] += 1
        self._report_count_by_crash = counts
        return reported

    def _sound_rows(
        self, crashes: list[quarantine.Crash], now_ms: clock.Millis
    ) -> tuple[coordination.SoundRow, ...]:
        """Return what settled of the suspects and of these crashes."""
        traits = dict.fromkeys(sorted(self._quarantine.suspects))
        for crash in crashes:
            traits.update(dict.fromkeys(crash.traits))
        rows, chars = [], 0
        for trait in traits:
            sound_ms = self._evidence.sound_ms(trait)
            if sound_ms is None:
                continue
            chars += len(trait)
            if chars > MAX_SOUND_CHARS:
                break
            rows.append(coordination.SoundRow(trait, now_ms - sound_ms))
        return tuple(rows)

    def apply_view(self, view: coordination.QuarantineView) -> None:
        """Apply the holder's suspects and blocks; its term was checked."""
        self._follow_era()
        state_quarantine = self._quarantine
        state_quarantine.suspects = frozenset(view.suspects)
        listed = {frozenset(row.traits): row.saved for row in view.blocks}
        for block in state_quarantine.blocks:
            if block.saved and block.traits not in listed:
                self._remove(block.traits, "the holder no longer lists it")
        known = {block.traits for block in state_quarantine.blocks}
        for traits, saved in listed.items():
            state_quarantine.add(quarantine.Block(traits))
            state_quarantine.set_saved(traits, saved)
            if traits not in known:
                self._runtime.log.event("prompt_blocked", parts=sorted(traits))
        self._holder_blocks = frozenset(listed)

    def apply_holds(
        self, view: coordination.HoldView, now_ms: clock.Millis
    ) -> None:
        """Apply the holder's list; its term was checked."""
        self._apply_holds(
            {row.request: row.trials for row in view.holds}, now_ms
        )

    def trial_requests(self, term: int) -> list[coordination.TrialRequest]:
        """Return what to ask of the holder."""
        return [
            coordination.TrialRequest(
                self._node, term, request, self._trials.held.get(request, 0)
            )
            for request in sorted(self._trials.waiting)
        ]

    # As the holder.

    def begin_term(self, now_ms: clock.Millis) -> None:
        """Start to conclude from the evidence of all nodes."""
        self._correlator = quarantine.Correlator(self._quarantine)
        self._changed_ms = self._holds_changed_ms = now_ms
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
            service, _, target = row.target.rpartition(_SERVICE_SEPARATOR)
            correlator.add_crash(
                quarantine.Crash(
                    row.request,
                    target,
                    row.traits,
                    row.weight,
                    now_ms - row.age_ms,
                    report.node,
                    service,
                )
            )
        for sound in report.sound:
            correlator.add_sound(sound.trait, now_ms - sound.age_ms)
        correlator.add_service(report.node, report.sound_counts, now_ms)
        for traits in report.blocks:
            if self._quarantine.blocking(traits) is None:
                self._add(frozenset(traits), now_ms)

    def grant_trial(
        self, message: coordination.TrialRequest, now_ms: clock.Millis
    ) -> bool:
        """Let a node send a request that is held, once."""
        correlator = self._correlator
        if correlator is None or not correlator.grant_trial(
            message.request, now_ms, message.trials
        ):
            return False
        self._runtime.log.event(
            "trial_granted", parts=[message.request], to=message.node
        )
        return True

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
        traits = correlator.find(now_ms, answer_ms)
        if traits is not None:
            self._conclude(correlator, traits, now_ms)
        if self._apply_holds(correlator.held, now_ms):
            self._holds_changed_ms = now_ms
            self._is_urgent = True

    def _apply_holds(
        self, listed: dict[str, int], now_ms: clock.Millis
    ) -> bool:
        """Apply the coordinator's list; true if that changes anything.

        A new coordinator does not know yet what the one before had held.
        """
        known = self._trials.held
        held = dict(listed)
        if now_ms - self._term_began_ms <= HOLDS_KEPT_MS:
            held = {**known, **held}
        for request in sorted(held.keys() - known.keys()):
            self._runtime.log.event("request_held", parts=[request])
        for request in sorted(known.keys() - held.keys()):
            self._runtime.log.event("request_freed", parts=[request])
        for request, trials in held.items():
            held[request] = max(trials, known.get(request, 0))
        self._trials.held = held
        return held != known

    def _conclude(
        self,
        correlator: quarantine.Correlator,
        traits: frozenset[str],
        now_ms: clock.Millis,
    ) -> None:
        crashes = correlator.explain(traits)
        self._runtime.log.event(
            "crashing_prompt_found",
            parts=sorted(traits),
            crashed_targets=len({crash.target for crash in crashes}),
            requests=len({crash.request for crash in crashes}),
            nodes=sorted({crash.node for crash in crashes}),
            oldest_ms=max((now_ms - c.at_ms for c in crashes), default=None),
            newest_ms=min((now_ms - c.at_ms for c in crashes), default=None),
            last_sound_ms=[
                None if sound_ms is None else now_ms - sound_ms
                for sound_ms in map(correlator.sound_ms, sorted(traits))
            ],
        )
        self._add(traits, now_ms)

    def _add(self, traits: frozenset[str], now_ms: clock.Millis) -> None:
        self._changed_ms = now_ms
        self._is_urgent = True
        self._runtime.metrics.count("blocked_prompts")
        dropped = self._quarantine.add(quarantine.Block(traits))
        if dropped is not None:
            self._dropped_keys.append(record_key(dropped.traits))
            self._runtime.log.event(
                "prompt_released",
                parts=sorted(dropped.traits),
                reason=f"there are more than {quarantine.MAX_BLOCKS} blocks",
            )

    def _remove(self, traits: frozenset[str], reason: str) -> None:
        self._quarantine.remove(traits)
        self._runtime.log.event(
            "prompt_released", parts=sorted(traits), reason=reason
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
                coordination.BlockRow(tuple(sorted(b.traits)), b.saved)
                for b in blocks
            ),
        )

    def holds_due(
        self, term: int, now_ms: clock.Millis
    ) -> coordination.HoldView | None:
        """Return the requests that are held if they are due to be sent."""
        if now_ms - self._holds_changed_ms > REPEAT_MS:
            is_needed = bool(self._trials.held)
            if not is_needed or now_ms - self._holds_sent_ms < KEEPALIVE_MS:
                return None
        self._holds_sent_ms = now_ms
        return coordination.HoldView(
            self._node,
            term,
            tuple(
                coordination.HoldRow(request, trials)
                for request, trials in sorted(self._trials.held.items())
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
                traits = json.loads(record.value)["parts"]
                if not isinstance(traits, list):
                    raise TypeError("parts is not a list")
                stored.add(frozenset(str(trait) for trait in traits))
            except (ValueError, KeyError, TypeError, RecursionError) as error:
                self._runtime.log.event(
                    "block_unreadable", key=record.key, reason=str(error)
                )
        stored.discard(frozenset())
        self._follow_era()
        known = {block.traits: block for block in self._quarantine.blocks}
        for traits in sorted(stored, key=sorted):
            if traits not in known:
                self._runtime.log.event("prompt_blocked", parts=sorted(traits))
            self._quarantine.add(quarantine.Block(traits, True))
        if not is_holder:
            return
        for traits, block in known.items():
            if block.saved and traits not in stored:
                self._remove(traits, "its record was removed")
        if set(known) != {b.traits for b in self._quarantine.blocks}:
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
                self._quarantine.set_saved(block.traits, False)
            self._changed_ms = self._runtime.now_ms()
        self._era = era

    def next_write(self) -> tuple[str, bytes] | None:
        """Return key and value of a record to append; no value deletes."""
        if self._dropped_keys:
            return self._dropped_keys[0], b""
        for block in self._quarantine.blocks:
            if not block.saved:
                value = {
                    "parts": sorted(block.traits),
                    "since_ms": self._runtime.time.wall_ms(),
                }
                return record_key(block.traits), json.dumps(value).encode()
        return None

    def confirm_write(self, key: str) -> None:
        """Record that a record was appended."""
        if key in self._dropped_keys:
            self._dropped_keys.remove(key)
            return
        for block in self._quarantine.blocks:
            if record_key(block.traits) == key:
                self._quarantine.add(quarantine.Block(block.traits, True))

"""Keeps a request from crashing target after target."""

import asyncio

from quetzalward_core import clock
from quetzalward_core import fleet
from quetzalward_core import quarantine
from quetzalward_gateway import _ports
from quetzalward_gateway import _responses
from quetzalward_gateway import _state

# A block stays until an operator lifts it.
BLOCKED_RETRY_AFTER_MS = 3_600_000
# Time until a request that is held may get its trial.
HELD_RETRY_AFTER_MS = 1_000
BLOCKED_REASON = "targets crashed under the request, or a part of its prompt"
# Wait for a trial: a message to the coordinator and back, or one lost.
TRIAL_WAIT_MS = 400
_POLL_INTERVAL_MS = 10


class CrashGuard:
    """Records crashes under one request, and refuses it where needed."""

    def __init__(
        self,
        state: _state.NodeState,
        time: clock.Clock,
        service: fleet.Service,
        customer: fleet.Customer | None,
        request: _ports.CallerRequest,
        raw: _responses.RawRequest,
    ) -> None:
        """Take an admitted request; nothing is read of it yet."""
        self._state = state
        self._time = time
        self._service = service
        self._customer = customer
        self._request = request
        self._raw = raw
        self._traits: tuple[str, ...] | None = None
        # Differs between repeats of the request.
        self._id = state.next_request_id(raw.received_ms)

    @property
    def traits(self) -> tuple[str, ...]:
        """Return what other requests may share with this one.

        Only models read prompts.
        """
        if self._traits is None:
            request, customer = self._request, self._customer
            parts = request.shared_parts if self._service.engine else ()
            self._traits = *parts, quarantine.request_trait(
                customer.name if customer else "",
                request.method,
                request.host,
                request.target,
                self._raw.body,
            )
        return self._traits

    @property
    def _request_trait(self) -> str:
        """Return the trait that only repeats of the request have."""
        return self.traits[-1]

    @property
    def _is_held(self) -> bool:
        trials = self._state.trials
        return bool(trials.held) and self._request_trait in trials.held

    async def may_send(self, remaining_ms: clock.Millis) -> bool:
        """Tell whether the request may be sent to a target now, once.

        One that is held waits for a trial.
        """
        if not self._is_held:
            return not self.is_blocked
        trials, request = self._state.trials, self._request_trait
        if request in trials.waiting:
            return False
        end_ms = self._time.now_ms() + min(TRIAL_WAIT_MS, remaining_ms)
        trials.waiting.add(request)
        try:
            while self._time.now_ms() < end_ms:
                if trials.take(request):
                    return True
                if not self._is_held:
                    return not self.is_blocked
                await asyncio.sleep(
                    _POLL_INTERVAL_MS / clock.MILLIS_PER_SECOND
                )
        finally:
            trials.end_wait(request)
        return False

    @property
    def retry_after_ms(self) -> clock.Millis:
        """Return the time after which a refused request may return."""
        if self.is_blocked:
            return BLOCKED_RETRY_AFTER_MS
        return HELD_RETRY_AFTER_MS

    @property
    def is_blocked(self) -> bool:
        """Tell whether the request must not reach a target."""
        blocks = self._state.quarantine
        # Without blocks the body need not be read again.
        return bool(blocks.blocks) and (
            blocks.blocking(self.traits) is not None
        )

    def is_suspect(self) -> bool:
        """Tell whether several targets crashed under it, or a part of it."""
        state, now_ms = self._state, self._time.now_ms()
        return any(
            trait in state.quarantine.suspects or trait in state.trials.held
            for trait in self.traits
        ) or state.evidence.has_suspect(self.traits, now_ms)

    def record_crash(self, incarnation: str, weight: int) -> None:
        """Record that a target crashed before its answer had settled.

        `incarnation` identifies the target since its start; `weight` says how
        likely this request is the cause.
        """
        self._state.evidence.record_crash(
            quarantine.Crash(
                self._id,
                incarnation,
                self.traits,
                weight,
                self._time.now_ms(),
                service=self._service.name,
            )
        )
        self._state.send_message_now = True

    def record_sound(self, began_ms: clock.Millis) -> None:
        """Record that a target did not crash under an answer that settled."""
        state = self._state
        state.evidence.record_sound(
            self.traits, began_ms, self._service.engine is not None
        )
        if self._is_held:
            state.send_message_now = True

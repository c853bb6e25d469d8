"""Registry of at-most-once calls, recorded on the call streams."""

import base64
import random
import threading
import typing

from quetzalward_core import agreement
from quetzalward_core import clock as clocks
from quetzalward_core import config
from quetzalward_core import errors
from quetzalward_node import interfaces
from quetzalward_node.log import _appender
from quetzalward_node.log import _client
from quetzalward_node.log import _stream

# With an older read of the head, this node rejects new keys at once.
MAX_HEAD_AGE_MS = 5_000
# A key may be freed between a rejected intent and the lookup after it.
_CLAIM_ATTEMPTS = 3
_IN_PROGRESS_RETRY_MS = 1_000

_Kind = errors.ErrorKind
_UNKNOWN = errors.Outcome.UNKNOWN
_Answer = interfaces.DispatcherAnswer
_State = agreement.IntentState
_ANSWER_BY_STATE = {
    _State.CLAIMING: _Answer.IN_PROGRESS,
    _State.DISPATCHED: _Answer.IN_PROGRESS,
    # The asking node has not yet read the record that ended the intent.
    _State.ENDED: _Answer.IN_PROGRESS,
    _State.ABANDONED: _Answer.ABANDONED,
    _State.UNKNOWN: _Answer.UNKNOWN,
    _State.FOREIGN: _Answer.UNKNOWN,
}
CallStreamTask = _stream.StreamTask[agreement.CallState]


class CallRegistryTask:
    """Implements `CallRegistry` and `IntentResponder` of `interfaces`."""

    def __init__(
        self,
        store: _client.LogStore,
        writer: str,
        streams: int,
        clock: clocks.Clock,
        dispatchers: interfaces.DispatcherQuery,
        status: interfaces.CallStatus,
        settings: typing.Callable[[], config.Calls],
        rng: random.Random | None = None,
    ) -> None:
        """Follow `streams` call streams with the settings in force."""
        self.tasks_by_stream: dict[str, CallStreamTask] = {}
        for number in range(streams):
            stream = f"calls-{number}"
            self.tasks_by_stream[stream] = _stream.StreamTask(
                store,
                stream,
                agreement.CallState,
                writer,
                clock,
                rng or random.Random(),
            )
        self._writer = writer
        self._clock = clock
        self._dispatchers = dispatchers
        self._status = status
        self._settings = settings
        self._lock = threading.Lock()
        self._intents = agreement.IntentTracker(writer)

    def start(self) -> None:
        """Start the threads of all call streams."""
        for task in self.tasks_by_stream.values():
            task.start()

    def stop(self, deadline_ms: clocks.Millis) -> None:
        """Flush queued entries until the deadline, then stop all streams."""
        for task in self.tasks_by_stream.values():
            task.flush(deadline_ms)
        for task in self.tasks_by_stream.values():
            task.begin_stop()
        for task in self.tasks_by_stream.values():
            task.stop()

    def ready(self) -> bool:
        """Return whether the head of every call stream was read."""
        return all(
            task.reader.head_age_ms() < interfaces.HEAD_NEVER_READ_MS
            for task in self.tasks_by_stream.values()
        )

    def begin(
        self, call: interfaces.KeyedCall
    ) -> interfaces.StartedCall | interfaces.CallResult:
        """Claim the key or return the stored result; see `CallRegistry`."""
        for _ in range(_CLAIM_ATTEMPTS):
            known = self._lookup(call)
            if known is not None:
                return self._resolve_claimed(call, known)
            started = self._claim(call)
            if started is not None:
                return started
        raise _in_progress("the key is being claimed and freed by other calls")

    def finish(
        self,
        started: interfaces.StartedCall,
        result: interfaces.CallResult,
    ) -> None:
        """Record the result; returns once it is queued for the log."""
        body = result.body
        if body is not None:
            if len(body) > self._settings().max_kept_body_bytes:
                body = None
        encoded_body = (
            None if body is None else base64.b64encode(body).decode()
        )
        call = started.call
        entry = agreement.CallResult(
            started.intent_id,
            call.customer,
            call.key,
            result.status,
            result.content_type,
            encoded_body,
        )
        self._queue_final_entry(call, entry)

    def abandon(self, started: interfaces.StartedCall) -> None:
        """Record that the call was never dispatched, which frees the key."""
        with self._lock:
            self._intents.abandon(started.intent_id)
        self._queue_abandoned(started.intent_id, started.call)

    def mark_unknown(self, started: interfaces.StartedCall) -> None:
        """Record that the call was dispatched and its outcome is unknown."""
        with self._lock:
            self._intents.mark_unknown(started.intent_id)
        call = started.call
        entry = agreement.CallUnknown(
            started.intent_id, call.customer, call.key
        )
        self._queue_final_entry(call, entry)

    def answer(self, intent_id: str) -> _Answer:
        """Return the state of one of this process's intents."""
        with self._lock:
            state = self._intents.state(intent_id)
        return _ANSWER_BY_STATE[state]

    def _stream_task(self, call: interfaces.KeyedCall) -> CallStreamTask:
        streams = len(self.tasks_by_stream)
        name = agreement.call_stream(call.customer, call.key, streams)
        return self.tasks_by_stream[name]

    def _lookup(self, call: interfaces.KeyedCall) -> agreement.CallKey | None:
        reader = self._stream_task(call).reader
        with reader.changed:
            return reader.fold.lookup(call.customer, call.key)

    def _claim(
        self, call: interfaces.KeyedCall
    ) -> interfaces.StartedCall | None:
        """Claim an absent key; return `None` if another intent was first."""
        task = self._stream_task(call)
        if task.reader.head_age_ms() > MAX_HEAD_AGE_MS:
            raise _not_run("this node has no recent read of the log's head")
        with self._lock:
            intent = self._intents.create_intent(
                call.customer,
                call.key,
                call.fingerprint,
                self._settings().retention_ms,
            )
        result, failure = self._append(task, intent, call.deadline_ms)
        append_uncertain = failure is not None and failure.outcome is _UNKNOWN
        with self._lock:
            decision = self._intents.decide(
                intent.intent_id,
                result,
                append_uncertain,
                self._clock.now_ms() < call.deadline_ms,
            )
        if decision is agreement.Decision.DISPATCH:
            return interfaces.StartedCall(intent.intent_id, call)
        if decision is agreement.Decision.TAKEN:
            return None
        if decision is agreement.Decision.GIVE_UP:
            self._queue_abandoned(intent.intent_id, call)
        detail = (
            failure.detail
            if failure
            else "intent not read back before the deadline"
        )
        raise _not_run(detail)

    def _append(
        self,
        task: CallStreamTask,
        intent: agreement.CallIntent,
        deadline_ms: clocks.Millis,
    ) -> tuple[agreement.EntryResult | None, errors.QuetzalwardError | None]:
        """Append an intent; return its result, or the error."""
        try:
            request = task.appender.submit([intent], deadline_ms)
            (result,) = task.appender.wait(request)
        except errors.QuetzalwardError as error:
            return None, error
        return result, None

    def _queue_abandoned(
        self, intent_id: str, call: interfaces.KeyedCall
    ) -> None:
        entry = agreement.CallAbandoned(intent_id, call.customer, call.key)
        self._queue_final_entry(call, entry)

    def _queue_final_entry(
        self,
        call: interfaces.KeyedCall,
        entry: (
            agreement.CallResult
            | agreement.CallAbandoned
            | agreement.CallUnknown
        ),
    ) -> None:
        """Queue an entry that ends an intent, without a deadline."""

        def forget(request: _appender.Request) -> None:
            if request.error is None:
                with self._lock:
                    self._intents.forget(entry.intent_id)

        self._stream_task(call).appender.submit([entry], None, forget)

    def _resolve_claimed(
        self, call: interfaces.KeyedCall, known: agreement.CallKey
    ) -> interfaces.CallResult:
        """Return the stored result of a claimed key, or raise its state."""
        if known.fingerprint != call.fingerprint:
            raise errors.QuetzalwardError(
                _Kind.KEY_REUSED,
                f"key {call.key!r} was used for a different request",
            )
        if known.state is agreement.KeyState.DONE:
            return _stored_result(known)
        if known.state is agreement.KeyState.OPEN:
            answer = self._ask_dispatcher(known)
            if answer is _Answer.IN_PROGRESS:
                raise _in_progress(
                    "the first call with this key is still running"
                )
            if answer is _Answer.ABANDONED:
                raise _in_progress(
                    "the first call with this key was abandoned"
                )
        return self._resolve_by_status(call, known)

    def _ask_dispatcher(self, known: agreement.CallKey) -> _Answer:
        if known.dispatcher == self._writer:
            return self.answer(known.intent_id)
        return self._dispatchers.ask(known.dispatcher, known.intent_id)

    def _resolve_by_status(
        self, call: interfaces.KeyedCall, known: agreement.CallKey
    ) -> interfaces.CallResult:
        """Query the service's status call; only "has run" settles the outcome.

        If the dispatcher was merely paused, a service that has not run the key
        yet may still run it, so "has not run" proves nothing.
        """
        if self._status.ran(call.service, call.key):
            entry = agreement.CallResult(
                known.intent_id, call.customer, call.key, 0, "", None
            )
            self._queue_final_entry(call, entry)
            raise _result_not_kept(call.key)
        # The result may have reached the log in the meantime.
        refreshed = self._lookup(call)
        if (
            refreshed is not None
            and refreshed.state is agreement.KeyState.DONE
        ):
            return _stored_result(refreshed)
        raise errors.QuetzalwardError(
            _Kind.OUTCOME_UNKNOWN,
            f"outcome of the call with key {call.key!r} is unknown",
        )


def _stored_result(known: agreement.CallKey) -> interfaces.CallResult:
    """Return the stored result, or raise if it was too large to keep."""
    if known.body is None:
        raise _result_not_kept(known.key)
    body = base64.b64decode(known.body)
    return interfaces.CallResult(known.status, known.content_type, body)


def _result_not_kept(key: str) -> errors.QuetzalwardError:
    return errors.QuetzalwardError(
        _Kind.RESULT_NOT_KEPT, f"the result for key {key!r} was not kept"
    )


def _not_run(detail: str) -> errors.QuetzalwardError:
    return errors.QuetzalwardError(
        _Kind.LOG_UNAVAILABLE, detail, retry_after_ms=1_000
    )


def _in_progress(detail: str) -> errors.QuetzalwardError:
    return errors.QuetzalwardError(
        _Kind.CALL_IN_PROGRESS, detail, retry_after_ms=_IN_PROGRESS_RETRY_MS
    )

"""Checks that the tokens of several attempts form one complete answer."""

import enum

import attrs


class UnexpectedFrameError(ValueError):
    """A frame belongs to another answer, or a token before it is missing."""


class FrameAction(enum.Enum):
    """What to do with a token frame."""

    SEND = "send"
    # The caller already has the token, or the attempt was abandoned.
    DROP = "drop"


@attrs.define
class TokenPositions:
    """Token position in one answer, across all its attempts.

    `sent` is the number of tokens sent to the caller, and so the index of the
    next one.
    """

    sent: int = 0
    attempt: int = 0
    _answer_id: str | None = None

    def begin_attempt(self) -> int:
        """Start the next attempt and return its number, from 1.

        The engine is to resume at token `sent`. From now on, frames of earlier
        attempts are dropped.
        """
        self.attempt += 1
        self._answer_id = None
        return self.attempt

    def check_answer(self, attempt: int, answer_id: str | None) -> None:
        """Check that an attempt's frames all carry the same answer id.

        Raises `UnexpectedFrameError` if the id changed within the attempt.
        """
        if attempt != self.attempt or answer_id is None:
            return
        if self._answer_id is None:
            self._answer_id = answer_id
        if self._answer_id != answer_id:
            raise UnexpectedFrameError(
                f"received a frame of answer {answer_id!r} in a stream of"
                f" answer {self._answer_id!r}"
            )

    def record_token(
        self, attempt: int, engine_index: int | None
    ) -> FrameAction:
        """Record one token frame and return whether to send it.

        `engine_index` is the index that the engine gave the token, or `None`
        if the engine does not number tokens; they are then counted. Raises
        `UnexpectedFrameError` if a token before this one is missing.
        """
        if attempt != self.attempt:
            return FrameAction.DROP
        index = self.sent if engine_index is None else engine_index
        if index < self.sent:
            # An engine that ignores `resume_from` starts at an earlier token.
            return FrameAction.DROP
        if index > self.sent:
            raise UnexpectedFrameError(
                f"received token {index}, expected token {self.sent}"
            )
        self.sent += 1
        return FrameAction.SEND

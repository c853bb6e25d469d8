"""Checks that the tokens of several attempts make one complete answer."""

import enum

import attrs


class ForeignFrameError(ValueError):
    """A frame does not belong to the answer, or a token is missing."""


class Verdict(enum.Enum):
    """What to do with a token frame."""

    SEND = "send"
    # The caller already has the token, or the attempt was abandoned.
    DROP = "drop"


@attrs.define
class TokenPositions:
    """Position of one answer over all its attempts.

    `sent` is the number of tokens that the caller has, which is also the
    index of the next one.
    """

    sent: int = 0
    attempt: int = 0
    _answer_id: str | None = None

    def begin_attempt(self) -> int:
        """Start the next attempt and return its number, from 1.

        The engine is to be asked for tokens from `sent` on. Frames of earlier
        attempts are dropped from now on.
        """
        self.attempt += 1
        self._answer_id = None
        return self.attempt

    def check_answer(self, attempt: int, answer_id: str | None) -> None:
        """Check that an attempt's frames all carry the same answer id.

        Raises `ForeignFrameError` if the id changed within the attempt.
        """
        if attempt != self.attempt or answer_id is None:
            return
        if self._answer_id is None:
            self._answer_id = answer_id
        if self._answer_id != answer_id:
            raise ForeignFrameError(
                f"frame of answer {answer_id!r} within {self._answer_id!r}"
            )

    def take(self, attempt: int, numbered: int | None) -> Verdict:
        """Account for one token frame of an attempt.

        `numbered` is the index that the engine gave the token, or `None` if
        the engine does not number tokens; then they are counted. Raises
        `ForeignFrameError` if a token is missing before this one.
        """
        if attempt != self.attempt:
            return Verdict.DROP
        index = self.sent if numbered is None else numbered
        if index < self.sent:
            # An engine that ignored `resume_from` starts at an earlier token.
            return Verdict.DROP
        if index > self.sent:
            raise ForeignFrameError(
                f"token {index} arrived where {self.sent} was expected"
            )
        self.sent += 1
        return Verdict.SEND

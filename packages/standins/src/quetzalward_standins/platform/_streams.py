"""Streams of the platform stand-in's targets, and their faults."""

import random

import attrs

from quetzalward_standins.platform import _http

REPLICA_SEAL_HEADER = "Quetzalward-Replica-Seal"
_PROMPT_HEADER = "quetzalward-prompt-prefix"


@attrs.define
class StreamFaults:
    """Faults of answers; the probabilities are for each answer."""

    # The answer is broken off. Plain answers are broken off as well.
    abort_probability: float = 0.0
    # The answer has neither a length nor chunks and ends with its connection.
    unframed_probability: float = 0.0
    # A target ends when it begins to write an answer to a prompt with one of
    # these parts, unless it is the prompt's last part.
    crashing_parts: set[str] = attrs.field(factory=set)
    # A target ends when it begins to run a request with one of these bodies,
    # also if it serves no model.
    crashing_bodies: set[bytes] = attrs.field(factory=set)


class Stream:
    """One answer in events, numbered from the request's last event on."""

    def __init__(
        self,
        request: _http.Request,
        reply: _http.Reply,
        attempt_id: str,
        faults: StreamFaults,
        rng: random.Random,
    ) -> None:
        """Take a request; nothing is sent yet."""
        headers = request.headers
        self._reply = reply
        self._attempt_id = attempt_id
        self._prompt = headers.get(_PROMPT_HEADER, "")
        self._body = request.body
        self._faults = faults
        self._rng = rng
        self._number = int(headers.get("last-event-id", "0"))
        self._count = int(headers["quetzalward-token-count"].split(",")[1])
        # Whether chunks delimit the answer, rather than its connection's end.
        self.is_framed = True

    @property
    def is_complete(self) -> bool:
        """Tell whether all events have been sent."""
        return self._number >= self._count

    def crash_cause(self) -> str | None:
        """Return the body, or the part, that ends the target, if any."""
        if self._body in self._faults.crashing_bodies:
            return self._body.decode()
        parts = [entry.partition(":")[0] for entry in self._prompt.split(",")]
        for part in parts[:-1]:
            if part in self._faults.crashing_parts:
                return part
        return None

    def begin(self, seal: str, more_headers: dict[str, str]) -> None:
        """Send the head of the answer."""
        headers = {
            **more_headers,
            REPLICA_SEAL_HEADER: seal,
            "Quetzalward-Attempt-Id": self._attempt_id,
            "content-type": "text/event-stream",
        }
        if self._rng.random() < self._faults.unframed_probability:
            self.is_framed = False
            self._reply.send_unframed_headers(200, headers)
            return
        headers["transfer-encoding"] = "chunked"
        self._reply.send_headers(200, headers)

    def send_next(self) -> bool:
        """Send the next event; false if the answer was broken off in it."""
        self._number += 1
        event = (
            f"id: {self._number}\ndata: {self._attempt_id}:{self._number}\n\n"
        ).encode()
        probability = self._faults.abort_probability / max(1, self._count)
        if self._rng.random() < probability:
            self._reply.send_data(event[:5])
            if self._rng.random() < 0.5:
                self._reply.close()
            else:
                self._reply.reset()
            return False
        self._reply.send_data(event)
        return True

"""An in-memory control log that applies entries to a real control state."""

import typing

from quetzalward_core import agreement
from quetzalward_core import errors


class InMemoryControlLog:
    """Implements `ControlLog` on a control state of this process."""

    def __init__(self) -> None:
        self.control_state = agreement.ControlState()
        self.available = True
        self.age_ms = 0
        self._seq = 0

    def writer(self) -> str:
        return "node-1:test"

    def state(self) -> agreement.ControlView:
        return self.control_state.view()

    def append(
        self, entries: typing.Sequence[agreement.Entry], deadline_ms: int
    ) -> list[agreement.EntryResult]:
        del deadline_ms
        if not self.available:
            raise errors.QuetzalwardError(
                errors.ErrorKind.LOG_UNAVAILABLE, "outage"
            )
        self._seq += 1
        data = agreement.encode_batch(self.writer(), self._seq, entries)
        result = self.control_state.apply_batch(
            self.control_state.next_offset, self._seq, data
        )
        assert result is not None
        return list(result.results)

    def head_age_ms(self) -> int:
        return self.age_ms

    def wait_for(
        self, position: int, deadline_ms: int
    ) -> agreement.ControlView | None:
        del position, deadline_ms
        return self.state()

"""Trials of held requests at this node."""

import attrs


@attrs.define
class Trials:
    """Requests that are held, and those that wait here for their trial."""

    # With the trials that any coordinator granted.
    held: dict[str, int] = attrs.field(factory=dict)
    waiting: set[str] = attrs.field(factory=set)
    _granted: set[str] = attrs.field(factory=set)

    def grant(self, request: str) -> None:
        """Let the request that waits go on; a late grant is void."""
        if request in self.waiting:
            self._granted.add(request)

    def take(self, request: str) -> bool:
        """Use the grant of a request that waits; false if there is none."""
        if request not in self._granted:
            return False
        self._granted.remove(request)
        return True

    def end_wait(self, request: str) -> None:
        """Record that a request waits no longer."""
        self.waiting.discard(request)
        self._granted.discard(request)

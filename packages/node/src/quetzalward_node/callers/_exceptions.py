"""Internal exceptions of the callers' task; none is sent to a caller."""


class CallerDisconnectedError(Exception):
    """The caller closed its connection or stopped reading."""

"""Exceptions inside the callers' task; none of them reaches a caller."""


class CallerGoneError(Exception):
    """The caller closed its connection or stopped reading."""

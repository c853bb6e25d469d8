"""Builders of messages between nodes."""

from quetzalward_core import coordination


def view(groups: int = 1) -> coordination.View:
    """Return a view of a number of open groups and a closing one."""
    entries = tuple(
        coordination.GroupEntry(f"g{i}", 1, "m", "t") for i in range(groups)
    )
    return coordination.View(
        "a",
        3,
        "a:1",
        5_000,
        7,
        True,
        2,
        coordination.GroupList(2, entries, (("h", 4),)),
        (coordination.GroupLoadRow(groups, 2.0, 30, 5, 1.1),),
        (coordination.Outcome("t", 3, 1, 20.0),),
        ("a:1", "b:1"),
    )


def status(known: coordination.Known | None = None) -> coordination.Status:
    """Return a status of a node with work at one group."""
    return coordination.Status(
        "b",
        3,
        4_000,
        17,
        (coordination.GroupWork("g", 1, 2.0, 30.0, 5, False, 1.0, 2),),
        (coordination.Outcome("t", 3, 1, 20.0),),
        ("u",),
        known or coordination.Known(3, 2, 10, 20),
    )


def crash_report() -> coordination.CrashReport:
    """Return a report of one crash, one sound part and one block."""
    return coordination.CrashReport(
        "b",
        3,
        (coordination.CrashRow("r", "t/1", ("p", "q"), 2, 40),),
        (coordination.SoundRow("q", 900),),
        (3, 0, 1),
        (("s",),),
    )


def record(offset: int, size: int = 10) -> coordination.RelayedRecord:
    """Return a record of about `size` bytes."""
    return coordination.RelayedRecord(offset, "k", "v" * (size - 1))


def limit_row() -> coordination.LimitRow:
    """Return a target's limit."""
    return coordination.LimitRow("t1", 1_700_000_000_000, "s", "m", 1.1)


def limit_messages() -> tuple[coordination.Message, ...]:
    """Return one message of each kind about limits."""
    observation = coordination.ObservationRow(limit_row(), -1, (20, 90))
    demand = coordination.DemandRow("s", "m", 2.25, 1)
    return (
        coordination.LimitReport("a", 3, (observation,), (demand,), ((7, 1),)),
        coordination.LimitList("a", 3, (limit_row(),)),
        coordination.PermitGrant(
            "a", 3, (coordination.PermitRow(7, "t1", 1, 50, 2),)
        ),
    )

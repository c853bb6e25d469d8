"""Checks of the engines' groups against the fold of the control stream."""

import threading
import typing

from functional import support

from quetzalward_core import agreement

Assignment = tuple[str, tuple[str, ...]]


def check_control(case: support.ClusterCase) -> set[Assignment]:
    """Check after each record that no host is in two groups.

    Returns every group that was ever formed, with its hosts.
    """
    state = agreement.ControlState()
    formed: set[Assignment] = set()
    for record in case.records(agreement.CONTROL_STREAM):
        state.apply_batch(record["offset"], record["time_ms"], record["data"])
        groups = state.view().groups_by_id.values()
        hosts = [member.host for group in groups for member in group.hosts]
        case.assertEqual(
            len(set(hosts)), len(hosts), f"offset {record['offset']}"
        )
        formed |= {
            (group.group, tuple(member.host for member in group.hosts))
            for group in groups
        }
    return formed


def engines_agree(case: support.ClusterCase) -> str:
    """Return where engines and fold differ; empty if nowhere.

    A broken group may stay: its survivors are free for other groups.
    """
    groups = case.control().groups_by_id
    targets = case.targets()
    wanted = {
        name: [member.host for member in group.hosts]
        for name, group in groups.items()
        if group.state == "serving"
    }
    found = {
        name: target["hosts"]
        for name, target in targets.items()
        if target["complete"] and target["state"] in ("cold", "warm")
    }
    states = {group.state for group in groups.values()}
    if not states <= {"serving", "broken"}:
        return f"states {states}"
    if len(wanted) != case.spec.replicas:
        return f"{len(wanted)} groups serve"
    return "" if wanted == found else f"fold {wanted}, engines {found}"


def wait_for_agreement(case: support.ClusterCase) -> None:
    """Wait until the engines have exactly the groups of the fold."""
    difference = ""

    def agree() -> bool:
        nonlocal difference
        difference = engines_agree(case)
        return not difference

    try:
        support.wait_for(agree, "agreement")
    except AssertionError as error:
        raise AssertionError(f"{error}: {difference}") from error


class Assignments:
    """Collects the groups that engines have accepted, until stopped."""

    def __init__(self, case: support.ClusterCase) -> None:
        """Start to sample."""
        self.seen: set[Assignment] = set()
        self._case = case
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()
        case.addCleanup(self.stop)

    def stop(self) -> set[Assignment]:
        """Return every group that was seen."""
        self._stopped.set()
        self._thread.join()
        return self.seen

    def _run(self) -> None:
        while not self._stopped.wait(0.05):
            targets: dict[str, typing.Any] = self._case.targets()
            self.seen |= {
                (name, tuple(target["hosts"]))
                for name, target in targets.items()
            }

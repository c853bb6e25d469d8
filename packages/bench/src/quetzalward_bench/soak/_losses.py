"""Requests that reached a sound target and ended without an answer."""

import signal

from quetzalward_bench.soak import _callers
from quetzalward_bench.soak import _nodes
from quetzalward_standins import platform

# A request may end unanswered at its deadline. It may also end so where a
# target is still at work late in the grace of a stopped node, if it was sent
# soon after the stop was requested.
_DEADLINE_S = _callers.REQUEST_DEADLINE_MS / 1000 - 0.1
_LATE_STOP_S = _nodes.GRACE_S * 5 / 6
_ACCEPTED_STOP_S = 3.0
# Tolerance between a signal and its effect.
_SIGNAL_TOLERANCE_S = 0.2


def check(
    losses: list[_callers.Loss],
    targets: platform.Targets,
    nodes: list[_nodes.NodeProcess],
) -> list[str]:
    """Return each request that was lost without a fault that excuses it.

    Silence of a target, faults of the store and changes excuse nothing.
    """
    node_by_port = {node.front_port: node for node in nodes}
    arrivals_by_attempt: dict[str, list[platform.Arrival]] = {}
    for arrival in targets.arrivals:
        arrivals_by_attempt.setdefault(arrival.attempt_id, []).append(arrival)
    broken = []
    for loss in losses:
        arrivals = arrivals_by_attempt.get(loss.sent.attempt_id)
        node = node_by_port[loss.port]
        if (
            arrivals
            and loss.at_s - loss.sent.sent_s < _DEADLINE_S
            and not _is_disturbed(node, loss)
            and _is_sound(arrivals[-1], loss, targets)
        ):
            broken.append(_describe(loss, node, arrivals, targets))
    return broken


def _is_disturbed(node: _nodes.NodeProcess, loss: _callers.Loss) -> bool:
    """Tell whether signals to the node excuse the end of a request."""
    since_s = loss.sent.sent_s - _SIGNAL_TOLERANCE_S
    paused = False
    for at_s, number in node.signals:
        if at_s > loss.at_s:
            break
        paused = number is signal.SIGSTOP or (
            paused and number is not signal.SIGCONT
        )
        if at_s >= since_s and number in (
            signal.SIGKILL,
            signal.SIGSTOP,
            signal.SIGCONT,
        ):
            return True
        if (
            number is signal.SIGTERM
            and _LATE_STOP_S <= loss.at_s - at_s <= _nodes.STOP_TIMEOUT_S
            and loss.sent.sent_s - at_s <= _ACCEPTED_STOP_S
        ):
            return True
    return paused


def _is_sound(
    arrival: platform.Arrival, loss: _callers.Loss, targets: platform.Targets
) -> bool:
    """Tell whether the target could answer up to the end of the request."""
    if not arrival.is_sound or loss.sent.attempt_id in targets.broken_attempts:
        return False
    return not any(
        arrival.at_s <= at_s <= loss.at_s
        for target_id in arrival.target_ids
        for at_s in targets.kills_s_by_id.get(target_id, [])
    )


def _describe(
    loss: _callers.Loss,
    node: _nodes.NodeProcess,
    arrivals: list[platform.Arrival],
    targets: platform.Targets,
) -> str:
    reached = ", ".join(
        f"{'/'.join(arrival.target_ids)} after "
        f"{arrival.at_s - loss.sent.sent_s:.2f} s"
        for arrival in arrivals
    )
    silent = ", ".join(
        f"{silence.target_id} from {silence.begin_s - loss.sent.sent_s:.2f} "
        f"to {silence.end_s - loss.sent.sent_s:.2f} s"
        for silence in targets.silences.history
        if any(silence.target_id in a.target_ids for a in arrivals)
        and silence.begin_s < loss.at_s
        and silence.end_s > loss.sent.sent_s
    )
    return (
        f"{loss.sent.attempt_id}: {loss.sent.kind} reached {reached}; "
        f"{node.name} ended it unanswered after "
        f"{loss.at_s - loss.sent.sent_s:.2f} s ({loss.reason}); "
        f"silent: {silent or 'none'}"
    )

"""What targets must not suffer from requests that crash them."""

from quetzalward_standins import platform

# Time that the platform allows for nodes to learn of a cause, and how many
# more requests with it may reach targets then.
CONTACT_S = 3.0
MAX_LATER_REQUESTS = 3


def check(
    cause_by_attempt: dict[str, str],
    learned_crashes: int,
    targets: platform.Targets,
    undisturbed_since_s: float,
) -> list[str]:
    """Return each cause that was sent to targets too often after crashes.

    The time to learn of it begins with the crash number `learned_crashes`.
    """
    crash_times_by_cause: dict[str, list[float]] = {
        cause: [] for cause in cause_by_attempt.values()
    }
    for crash in targets.crashes:
        if crash.cause in crash_times_by_cause:
            crash_times_by_cause[crash.cause].append(crash.at_s)
    errors = []
    for cause, times_s in crash_times_by_cause.items():
        if len(times_s) < learned_crashes:
            continue
        begin_s = max(
            times_s[learned_crashes - 1] + CONTACT_S, undisturbed_since_s
        )
        later = [
            execution
            for execution in targets.executions
            if execution.at_s > begin_s
            and cause_by_attempt.get(execution.attempt_id) == cause
        ]
        if len(later) > MAX_LATER_REQUESTS:
            errors.append(
                f"{cause}: {len(later)} requests reached targets later than "
                f"{CONTACT_S} s after {learned_crashes} targets had ended "
                f"under it; {len(times_s)} ended in all"
            )
    return errors

"""Evidence from first-token times that a target is cold."""

import collections
import statistics

# A cold target's first token takes several times the usual time.
COLD_FACTOR = 6.0
# Short times vary by more than the factor without any fault.
MIN_COLD_MS = 1_000.0
MIN_SAMPLES = 16
_KEPT = 64


class FirstTokenMonitor:
    """First-token times of one model's warm targets."""

    def __init__(self) -> None:
        """Start without samples."""
        self._samples: collections.deque[float] = collections.deque(
            maxlen=_KEPT
        )

    def is_cold(self, first_token_ms: float) -> bool:
        """Return whether the time suggests a cold target, and keep it if not.

        The time is the one between dispatch and first token.
        """
        if len(self._samples) < MIN_SAMPLES:
            self._samples.append(first_token_ms)
            return False
        usual_ms = statistics.median(self._samples)
        if first_token_ms > max(MIN_COLD_MS, COLD_FACTOR * usual_ms):
            return True
        self._samples.append(first_token_ms)
        return False

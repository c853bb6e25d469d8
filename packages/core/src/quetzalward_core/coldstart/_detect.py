"""Detection of cold targets by their time to first token."""

import collections
import statistics

# Multiple of the median time to first token beyond which a target is cold.
COLD_FACTOR = 6.0
# Short times vary by more than the factor in normal operation.
MIN_COLD_MS = 1_000.0
MIN_SAMPLES = 16
_MAX_SAMPLES = 64


class FirstTokenMonitor:
    """Time to first token of one model's warm targets."""

    def __init__(self) -> None:
        """Start without samples."""
        self._samples: collections.deque[float] = collections.deque(
            maxlen=_MAX_SAMPLES
        )

    def is_cold(self, first_token_ms: float) -> bool:
        """Return whether the time indicates a cold target; record it if not.

        `first_token_ms` is the time from dispatch to the first token.
        """
        if len(self._samples) < MIN_SAMPLES:
            self._samples.append(first_token_ms)
            return False
        usual_ms = statistics.median(self._samples)
        if first_token_ms > max(MIN_COLD_MS, COLD_FACTOR * usual_ms):
            return True
        self._samples.append(first_token_ms)
        return False

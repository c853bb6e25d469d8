"""Model of an engine: batch places, one prefill lane, a prefix cache."""

import collections
import random

import attrs

PREFILL_MS_PER_TOKEN = 0.05
TOKEN_MS = 28.0
# A full batch decodes this much slower than an empty one.
BATCH_SLOWDOWN = 0.4
BLOCK_TOKENS = 64


@attrs.define(eq=False)
class Job:
    """One request of a generated workload."""

    arrived_ms: float
    prefix: tuple[str, ...]
    prompt_tokens: int
    output_tokens: int
    node: int = 0
    target: str = ""
    grant: int = 0
    first_token_ms: float = 0.0
    cached_tokens: int = 0


@attrs.define(eq=False)
class Engine:
    """State of one engine."""

    name: str
    capacity: int = 96
    slowness: float = 1.0
    cache_ids: int = 3_000
    running: int = 0
    waiting: collections.deque[Job] = attrs.field(factory=collections.deque)
    lane_free_ms: float = 0.0
    cache: collections.OrderedDict[str, None] = attrs.field(
        factory=collections.OrderedDict
    )
    added: list[tuple[str, ...]] = attrs.field(factory=list)

    @property
    def load(self) -> int:
        """Return the requests held."""
        return self.running + len(self.waiting)

    @property
    def token_ms(self) -> float:
        """Return the current inter-token latency."""
        filled = self.running / self.capacity
        return TOKEN_MS * self.slowness * (1 + BATCH_SLOWDOWN * filled)

    def arrive(self, job: Job, now_ms: float) -> float | None:
        """Take a job; return when it ends, or `None` if it waits."""
        if self.running >= self.capacity:
            self.waiting.append(job)
            return None
        return self._start(job, now_ms)

    def end(self, now_ms: float) -> tuple[Job, float] | None:
        """End a job; return the next one that starts and its end."""
        self.running -= 1
        if not self.waiting:
            return None
        job = self.waiting.popleft()
        return job, self._start(job, now_ms)

    def _start(self, job: Job, now_ms: float) -> float:
        """Run a job and note its first token; return its end."""
        self.running += 1
        job.cached_tokens = self._cached(job.prefix)
        missing = job.prompt_tokens - job.cached_tokens
        prefill_ms = missing * PREFILL_MS_PER_TOKEN * self.slowness
        self.lane_free_ms = max(self.lane_free_ms, now_ms) + prefill_ms
        first_ms = self.lane_free_ms + self.token_ms
        job.first_token_ms = first_ms - job.arrived_ms
        self._remember(job.prefix)
        return first_ms + job.output_tokens * self.token_ms

    def _cached(self, prefix: tuple[str, ...]) -> int:
        for index in range(len(prefix) - 1, -1, -1):
            if prefix[index] in self.cache:
                return (index + 1) * BLOCK_TOKENS
        return 0

    def _remember(self, prefix: tuple[str, ...]) -> None:
        if prefix and prefix[-1] not in self.cache:
            self.added.append(prefix)
        for one in prefix:
            self.cache[one] = None
            self.cache.move_to_end(one)
        while len(self.cache) > self.cache_ids:
            self.cache.popitem(last=False)


def make_jobs(
    rate_per_s: float,
    length_ms: int,
    nodes: int,
    rng: random.Random,
    prefixes: int = 3_000,
) -> list[Job]:
    """Return Poisson arrivals with Zipf-like shared prefixes.

    Outputs have a mean of 255 tokens, as 1.2 million tokens/s over 4,700
    requests/s.
    """
    blocks = [rng.randint(4, 28) for _ in range(prefixes)]
    names = [
        tuple(f"{p}.{b}" for b in range(blocks[p])) for p in range(prefixes)
    ]
    weights = [1 / (rank + 10) for rank in range(prefixes)]
    jobs: list[Job] = []
    now_ms = rng.expovariate(rate_per_s) * 1_000
    while now_ms < length_ms:
        jobs.append(Job(now_ms, (), 0, 0, rng.randrange(nodes)))
        now_ms += rng.expovariate(rate_per_s) * 1_000
    drawn = rng.choices(range(prefixes), weights, k=len(jobs))
    for job, prefix in zip(jobs, drawn):
        job.prefix = names[prefix]
        own = rng.randint(50, 350)
        job.prompt_tokens = len(job.prefix) * BLOCK_TOKENS + own
        job.output_tokens = min(1_000, 1 + int(rng.expovariate(1 / 255)))
    return jobs

"""Types of the configuration and of the targets, as the gateway sees them."""

import enum

import attrs

from quetzalward_core import clock


class RequestKind(enum.Enum):
    """What a route's requests allow."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@attrs.frozen
class Address:
    """An IPv4 address and port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return the usual `host:port`."""
        return f"{self.host}:{self.port}"


@attrs.frozen
class Route:
    """A host and path prefix, and how its requests are treated."""

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    # Longest time that a caller is kept waiting.
    timeout_ms: clock.Millis
    # Time to the answer, or to a stream's first event, that counts in full.
    objective_ms: clock.Millis
    # Longest pause between events of a stream that is still on time.
    pause_ms: clock.Millis
    # 0 is the most urgent.
    priority: int
    weight_by_service: dict[str, float]
    # Bound on the replicas that one request may run on.
    max_attempts: int
    anonymous: bool
    can_resume: bool

    @property
    def repeatable(self) -> bool:
        """Tell whether a request may run more than once."""
        if self.kind is RequestKind.STREAMING:
            return self.can_resume
        return self.kind is RequestKind.IDEMPOTENT


@attrs.frozen
class Model:
    """A model that groups of targets serve."""

    name: str
    # Targets that form one serving group.
    group_size: int
    # Share of the engine work at the start.
    share: float
    # Factor on all times of a group that serves the model.
    pace: float
    load_ms: clock.Millis
    warm_ms: clock.Millis


@attrs.frozen
class Engine:
    """Published cost of the engine of a service; times before `pace`."""

    slots: int
    kv_tokens: int
    # Token steps that run between two looks at the waiting work.
    stride: int
    step_ms: float
    per_sequence_ms: float
    context_ms_per_k: float
    read_tokens_per_ms: float
    pairs_ms_per_m: float
    chunk_tokens: int
    loads_per_s: float
    loads_at_once: int
    # Models whose weights a host keeps.
    keeps: int
    form_ms: clock.Millis
    usual_prompt: float
    usual_answer: float
    models_by_name: dict[str, Model]
    # Age of what a target's report says.
    report_lag_ms: clock.Millis = 0


@attrs.frozen
class Service:
    """A set of targets of one kind."""

    name: str
    health_path: str
    cold_start_ms: clock.Millis
    # Requests a second that a target bears in cold start; 0: no bound.
    cold_per_s: float
    # Set for services of model engines, which serve in groups.
    engine: Engine | None = None


@attrs.frozen
class Customer:
    """A customer and the rank of its requests, if it has one."""

    name: str
    priority: int | None = None


@attrs.frozen
class CallerLimits:
    """Bounds on what a caller sends and how long it may take."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_ms: clock.Millis = 3_000
    idle_timeout_ms: clock.Millis = 15_000


@attrs.frozen
class Configuration:
    """A configuration in force, whole."""

    version: int
    routes: tuple[Route, ...]
    service_by_name: dict[str, Service]
    customer_by_key: dict[str, Customer]
    limits: CallerLimits


class MemberState(enum.Enum):
    """State of a target within its group."""

    JOINING = "joining"
    READY = "ready"
    OPEN = "open"
    CLOSING = "closing"
    BROKEN = "broken"


@attrs.frozen
class Membership:
    """The group that a target says it belongs to."""

    group: str
    epoch: int
    # 0 is the head, which takes the group's requests.
    rank: int
    state: MemberState


@attrs.frozen
class Target:
    """A target as it describes itself."""

    id: str
    service: str
    address: Address
    zone: str
    draining: bool
    # Time left of the cold start when the entry was written.
    cold_left_ms: clock.Millis
    # Unix time of the target's start; tells two lives of one id apart.
    born_ms: int
    slots: int = 0
    # Fabric domain; members of a group in one domain run at full pace.
    domain: str | None = None
    staged_models: tuple[str, ...] = ()
    membership: Membership | None = None


@attrs.frozen
class TargetReport:
    """A target's answer to a question for its state."""

    born_ms: int
    staged_models: tuple[str, ...]
    membership: Membership | None
    ordered: bool
    # Orders accepted in this life.
    sequence: int
    queued: int
    active: int
    pace: float

"""Types of the configuration and of the targets, as the gateway uses them."""

import enum

import attrs

from quetzalward_core import clock


class RequestKind(enum.Enum):
    """Whether a route's requests may be repeated, or are streamed."""

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
    # Longest time that a caller may wait.
    timeout_ms: clock.Millis
    # Time to the answer, or to a stream's first event, that meets the
    # service-level objective.
    objective_ms: clock.Millis
    # Longest pause between events of a stream that meets the objective.
    pause_ms: clock.Millis
    # 0 is the most urgent.
    priority: int
    weight_by_service: dict[str, float]
    # Maximum number of replicas that one request may run on.
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
    """A model that is served by groups of targets."""

    name: str
    # Targets that form one serving group.
    group_size: int
    # Initial share of the engine work.
    share: float
    # Factor applied to all times of a group that serves the model.
    pace: float
    load_ms: clock.Millis
    warm_ms: clock.Millis


@attrs.frozen
class Engine:
    """Published cost of the engine of a service; times before `pace`."""

    slots: int
    kv_tokens: int
    # Token steps between two admissions of waiting requests.
    stride: int
    step_ms: float
    per_sequence_ms: float
    context_ms_per_k: float
    read_tokens_per_ms: float
    pairs_ms_per_m: float
    chunk_tokens: int
    loads_per_s: float
    loads_at_once: int
    # Number of models whose weights a host stores.
    keeps: int
    form_ms: clock.Millis
    typical_prompt_tokens: float
    typical_answer_tokens: float
    models_by_name: dict[str, Model]
    # Age of the state in a target's report.
    report_lag_ms: clock.Millis = 0


@attrs.frozen
class Service:
    """A set of interchangeable targets."""

    name: str
    health_path: str
    cold_start_ms: clock.Millis
    # Limit on requests per second to a target in cold start; 0: no limit.
    cold_max_requests_per_s: float
    # Set for services of model engines, which serve in groups.
    engine: Engine | None = None


@attrs.frozen
class Customer:
    """A customer and the priority of its requests, if it has one."""

    name: str
    priority: int | None = None


@attrs.frozen
class CallerLimits:
    """Limits on the size and duration of a caller's requests."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_ms: clock.Millis = 3_000
    idle_timeout_ms: clock.Millis = 15_000


@attrs.frozen
class Configuration:
    """A complete configuration in force."""

    version: int
    routes: tuple[Route, ...]
    service_by_name: dict[str, Service]
    customer_by_key: dict[str, Customer]
    limits: CallerLimits
    # Whether requests need an API key, also if no key is valid.
    requires_keys: bool


class MemberState(enum.Enum):
    """State of a target within its group."""

    JOINING = "joining"
    READY = "ready"
    OPEN = "open"
    CLOSING = "closing"
    BROKEN = "broken"


@attrs.frozen
class Membership:
    """The group that a target reports as its own."""

    group: str
    epoch: int
    # 0 is the head, which accepts the group's requests.
    rank: int
    state: MemberState


@attrs.frozen
class Target:
    """A target as described by its entry in the store."""

    id: str
    service: str
    address: Address
    zone: str
    draining: bool
    # Remaining time of the cold start when the entry was written.
    cold_left_ms: clock.Millis
    # Unix time of the target's start; changes when it restarts.
    born_ms: int
    slots: int = 0
    # Fabric domain; a group runs at full speed if its members share one.
    domain: str | None = None
    staged_models: tuple[str, ...] = ()
    membership: Membership | None = None
    # Number of entries that the target has written since its start.
    sequence: int = 0
    # Whether the entry was overwritten with a malformed one. The target gets
    # no new requests until it writes again; it is not known to leave.
    withheld: bool = False

    @property
    def key(self) -> tuple[str, int]:
        """Return what tells this life of the target from others."""
        return (self.id, self.born_ms)

    @property
    def incarnation(self) -> str:
        """Return a name of this life of the target."""
        return f"{self.id}/{self.born_ms}"


@attrs.frozen
class TargetReport:
    """A target's answer to a request for its state."""

    born_ms: int
    staged_models: tuple[str, ...]
    membership: Membership | None
    ordered: bool
    # Number of orders accepted since the start.
    sequence: int
    queued: int
    active: int
    pace: float

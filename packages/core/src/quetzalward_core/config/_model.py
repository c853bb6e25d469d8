"""The configuration document as attrs classes.

Every field has a default, except those that an operator must decide.
Durations are in milliseconds, sizes in bytes, rates per second.
"""

import attrs

ROUTING_POLICIES = ("cost", "random")
DEFAULT_CALL_RETENTION_MS = 24 * 60 * 60 * 1000


@attrs.frozen
class Zone:
    """An availability zone."""

    region: str


@attrs.frozen
class Model:
    """A model and the replicas, zones and hosts requested for it."""

    hosts_per_replica: int
    replicas: int
    zones: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    versions: tuple[str, ...] = ()
    # Model weights are loaded in descending order of this value.
    importance: int = 1
    max_context_tokens: int = 8192


@attrs.frozen
class ServiceTarget:
    """One replica of a plain service."""

    url: str
    zone: str


@attrs.frozen
class RepeatableCall:
    """A method and path prefix whose calls may run more than once."""

    method: str
    path: str


@attrs.frozen
class Service:
    """A plain HTTP service that requests are routed to."""

    targets: tuple[ServiceTarget, ...]
    timeout_ms: int = 10_000
    # Calls that match none of these run at most once.
    repeatable: tuple[RepeatableCall, ...] = ()
    # Path, with a `{key}` placeholder, that reports whether the call with an
    # idempotency key was executed: 200 if it was, 404 if it was not.
    status_path: str | None = None


@attrs.frozen
class Customer:
    """A customer: API keys, fair-queueing weight and cluster-wide limits."""

    key_sha256: tuple[str, ...]
    weight: float = 1.0
    rate_per_s: float = 100.0
    max_concurrency: int = 200
    priority: int = 0
    models: tuple[str, ...] = ("*",)
    services: tuple[str, ...] = ("*",)


@attrs.frozen
class Operator:
    """A person or program that may use the operators' API."""

    token_sha256: str


@attrs.frozen
class Engines:
    """Capabilities of the deployment's model engines."""

    honours_fencing: bool = False
    default_bearable: int = 2
    report_interval_ms: int = 1000


@attrs.frozen
class Limits:
    """Limits that each node applies."""

    max_body_bytes: int = 1_048_576
    max_header_bytes: int = 32_768
    request_timeout_ms: int = 120_000
    first_token_timeout_ms: int = 10_000
    token_timeout_ms: int = 5_000
    max_queue_ms: int = 5_000
    max_streams: int = 256
    retry_budget_percent: float = 10.0


@attrs.frozen
class Routing:
    """Parameters of target selection."""

    # "random" selects a random free target, without prefix affinity, zone
    # preference, ejection or early rejection: the baseline of experiments.
    policy: str = "cost"
    choices: int = 3
    subset: int = 24
    zone_penalty_ms: float = 2.0
    ejection_ratio: float = 2.0
    max_ejected_fraction: float = 1 / 3


@attrs.frozen
class Calls:
    """Retention of the results of calls with an idempotency key."""

    retention_ms: int = DEFAULT_CALL_RETENTION_MS
    max_kept_body_bytes: int = 16_384


@attrs.frozen
class Configuration:
    """The complete configuration document, as each node applies it."""

    zones: dict[str, Zone] = attrs.field(factory=dict)
    models: dict[str, Model] = attrs.field(factory=dict)
    services: dict[str, Service] = attrs.field(factory=dict)
    customers: dict[str, Customer] = attrs.field(factory=dict)
    operators: dict[str, Operator] = attrs.field(factory=dict)
    engines: Engines = attrs.field(factory=Engines)
    limits: Limits = attrs.field(factory=Limits)
    routing: Routing = attrs.field(factory=Routing)
    calls: Calls = attrs.field(factory=Calls)

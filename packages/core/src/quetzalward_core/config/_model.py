"""The configuration document as attrs classes.

Every field has a default unless an operator must decide it. Durations are in
milliseconds, sizes in bytes, rates per second.
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
    """A model and what is declared to serve it."""

    hosts_per_replica: int
    replicas: int
    zones: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    versions: tuple[str, ...] = ()
    # Weight loads are ordered by this value, largest first.
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
    """A plain service that the system routes to."""

    targets: tuple[ServiceTarget, ...]
    timeout_ms: int = 10_000
    # Calls that match none of these run at most once.
    repeatable: tuple[RepeatableCall, ...] = ()
    # Path that tells whether a key ran, with `{key}` in it; 200 means it ran,
    # 404 that it did not.
    status_path: str | None = None


@attrs.frozen
class Customer:
    """A customer with keys, weight and limits over all nodes."""

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
    """What the model engines of this deployment do."""

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
    """Parameters of the choice of a target."""

    # "random" is the baseline of experiments: a random free target, without
    # prefix affinity, zone preference, ejection and early rejection.
    policy: str = "cost"
    choices: int = 3
    subset: int = 24
    zone_penalty_ms: float = 2.0
    ejection_ratio: float = 2.0
    max_ejected_fraction: float = 1 / 3


@attrs.frozen
class Calls:
    """How keyed calls are remembered."""

    retention_ms: int = DEFAULT_CALL_RETENTION_MS
    max_kept_body_bytes: int = 16_384


@attrs.frozen
class Configuration:
    """The whole document, as every node has it in force."""

    zones: dict[str, Zone] = attrs.field(factory=dict)
    models: dict[str, Model] = attrs.field(factory=dict)
    services: dict[str, Service] = attrs.field(factory=dict)
    customers: dict[str, Customer] = attrs.field(factory=dict)
    operators: dict[str, Operator] = attrs.field(factory=dict)
    engines: Engines = attrs.field(factory=Engines)
    limits: Limits = attrs.field(factory=Limits)
    routing: Routing = attrs.field(factory=Routing)
    calls: Calls = attrs.field(factory=Calls)

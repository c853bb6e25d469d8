"""Semantic checks of a configuration."""

import collections
import ipaddress
import re
import typing
import urllib.parse

from quetzalward_core.config import _codec
from quetzalward_core.config import _merge
from quetzalward_core.config import _model
from quetzalward_core import errors

_SHA256_HEX = re.compile(r"[0-9a-f]{64}")
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}")
_WILDCARD = "*"

Problems = typing.Iterator[_codec.Problem]


def check(document: dict[str, typing.Any]) -> list[_codec.Problem]:
    """Return every problem of a merged document; empty if it is valid."""
    configuration, problems = _codec.structure(document)
    if configuration is None:
        return problems
    violations: list[_codec.Problem] = []
    for rule in _RULES:
        violations += rule(configuration)
    return violations


def check_files(
    files: typing.Iterable[_merge.ConfigFile],
) -> tuple[_merge.MergedDocument, list[str]]:
    """Merge files and return the result with a line for each problem.

    A line names the file, the path in it and the cause. Raises
    `QuetzalwardError` of kind `config_invalid` for malformed JSON.
    """
    merged = _merge.merge(files)
    lines = []
    for problem in check(merged.document):
        origin = merged.origin(problem.path) or "(merged)"
        lines.append(f"{origin}: {problem}")
    return merged, lines


def require_valid(document: dict[str, typing.Any]) -> _model.Configuration:
    """Return the configuration of a valid document.

    Raises `QuetzalwardError` of kind `config_invalid` with every problem.
    """
    problems = check(document)
    if problems:
        raise errors.QuetzalwardError(
            errors.ErrorKind.CONFIG_INVALID, "; ".join(map(str, problems))
        )
    return _codec.from_document(document)


def _check_names(configuration: _model.Configuration) -> Problems:
    for section in ("zones", "models", "services", "customers", "operators"):
        for name in getattr(configuration, section):
            if not _NAME.fullmatch(name):
                yield _codec.Problem(
                    (section, name),
                    "invalid name: must start with a letter or digit and have"
                    " at most 128 letters, digits or characters of '._:/-'",
                )


def _check_models(configuration: _model.Configuration) -> Problems:
    name_counts = collections.Counter(list(configuration.models))
    for name, model in configuration.models.items():
        path = ("models", name)
        name_counts.update(model.adapters + model.versions)
        if model.hosts_per_replica < 1:
            yield _codec.Problem(
                (*path, "hosts_per_replica"), "must be at least 1"
            )
        if model.replicas < 0:
            yield _codec.Problem((*path, "replicas"), "must not be negative")
        if model.max_context_tokens < 1:
            yield _codec.Problem(
                (*path, "max_context_tokens"), "must be at least 1"
            )
        for zone in model.zones:
            if zone not in configuration.zones:
                yield _codec.Problem(
                    (*path, "zones"), f"{zone!r} is not a declared zone"
                )
    for name, count in name_counts.items():
        if count > 1:
            yield _codec.Problem(
                ("models",),
                f"{name!r} is used as the name of {count} models, adapters or"
                " versions",
            )


def _check_url(path: tuple[str, ...], url: str) -> Problems:
    try:
        parts = urllib.parse.urlsplit(url)
        ipaddress.ip_address(parts.hostname or "")
        port_given = parts.port is not None
    except ValueError:
        yield _codec.Problem(
            path,
            f"{url!r:.80} must have an IP address as host and a valid port",
        )
        return
    if parts.scheme not in ("http", "https") or not port_given:
        yield _codec.Problem(path, f"{url!r:.80} must be http(s)://IP:port")


def _check_services(configuration: _model.Configuration) -> Problems:
    for name, service in configuration.services.items():
        path = ("services", name)
        if service.timeout_ms < 1:
            yield _codec.Problem((*path, "timeout_ms"), "must be positive")
        if service.status_path and "{key}" not in service.status_path:
            yield _codec.Problem((*path, "status_path"), "must contain {key}")
        for index, target in enumerate(service.targets):
            target_path = (*path, "targets", str(index))
            yield from _check_url((*target_path, "url"), target.url)
            if target.zone not in configuration.zones:
                yield _codec.Problem(
                    (*target_path, "zone"),
                    f"{target.zone!r} is not a declared zone",
                )


def _check_digest(path: tuple[str, ...], value: str) -> Problems:
    if not _SHA256_HEX.fullmatch(value):
        yield _codec.Problem(
            path,
            "must be a SHA-256 in hex; plain-text secrets are not accepted",
        )


def _check_secrets(configuration: _model.Configuration) -> Problems:
    customer_by_digest: dict[str, str] = {}
    for name, customer in configuration.customers.items():
        path = ("customers", name, "key_sha256")
        for digest in customer.key_sha256:
            yield from _check_digest(path, digest)
            other = customer_by_digest.setdefault(digest, name)
            if other != name:
                yield _codec.Problem(
                    path, f"key is also assigned to customer {other!r}"
                )
    for name, operator in configuration.operators.items():
        path = ("operators", name, "token_sha256")
        yield from _check_digest(path, operator.token_sha256)


def _check_customers(configuration: _model.Configuration) -> Problems:
    models = set(configuration.models) | {_WILDCARD}
    for model in configuration.models.values():
        models |= set(model.adapters) | set(model.versions)
    services = set(configuration.services) | {_WILDCARD}
    for name, customer in configuration.customers.items():
        path = ("customers", name)
        for field in ("weight", "rate_per_s", "max_concurrency"):
            if getattr(customer, field) <= 0:
                yield _codec.Problem((*path, field), "must be positive")
        for field, known in (("models", models), ("services", services)):
            for entry in getattr(customer, field):
                if entry not in known:
                    yield _codec.Problem(
                        (*path, field), f"{entry!r} is not declared"
                    )


def _check_ranges(configuration: _model.Configuration) -> Problems:
    limits = configuration.limits
    for field in _model.Limits.__attrs_attrs__:  # type: ignore[attr-defined]
        if getattr(limits, field.name) <= 0:
            yield _codec.Problem(("limits", field.name), "must be positive")
    routing = configuration.routing
    for name in ("choices", "subset"):
        if getattr(routing, name) < 1:
            yield _codec.Problem(("routing", name), "must be at least 1")
    if routing.policy not in _model.ROUTING_POLICIES:
        accepted = " or ".join(map(repr, _model.ROUTING_POLICIES))
        yield _codec.Problem(("routing", "policy"), f"must be {accepted}")
    if not 0 <= routing.max_ejected_fraction < 1:
        yield _codec.Problem(
            ("routing", "max_ejected_fraction"), "must be from 0 to below 1"
        )
    if routing.ejection_ratio <= 1:
        yield _codec.Problem(("routing", "ejection_ratio"), "must be above 1")
    if configuration.engines.default_bearable < 1:
        yield _codec.Problem(
            ("engines", "default_bearable"), "must be at least 1"
        )
    if configuration.calls.retention_ms < 1:
        yield _codec.Problem(("calls", "retention_ms"), "must be positive")


_RULES: tuple[typing.Callable[[_model.Configuration], Problems], ...] = (
    _check_names,
    _check_models,
    _check_services,
    _check_secrets,
    _check_customers,
    _check_ranges,
)

"""Authentication of callers and authorization of customers."""

import hashlib
import re
import threading

import attrs

from quetzalward_core import config
from quetzalward_core import errors
from quetzalward_node.callers import _framing

_BEARER = re.compile(r"[Bb][Ee][Aa][Rr][Ee][Rr] +([\x21-\x7e]+)")
WILDCARD = "*"


@attrs.frozen
class Customer:
    """An authenticated customer."""

    name: str
    declared: config.Customer

    def may_use_model(self, name: str, base: str) -> bool:
        """Return whether the customer may use a model, adapter or version.

        Permission for a model covers its adapters and versions.
        """
        allowed = self.declared.models
        return WILDCARD in allowed or name in allowed or base in allowed

    def may_use_service(self, name: str) -> bool:
        """Return whether the customer may use a plain service."""
        allowed = self.declared.services
        return WILDCARD in allowed or name in allowed


class Authenticator:
    """Finds the customer of a request by the SHA-256 of its API key."""

    def __init__(self) -> None:
        """Start without an index; it is built on first use."""
        self._lock = threading.Lock()
        self._indexed_configuration: config.Configuration | None = None
        self._names_by_hash: dict[str, str] = {}

    def authenticate(
        self, head: _framing.Head, configuration: config.Configuration
    ) -> Customer:
        """Return the customer that a request's API key belongs to.

        Raises `QuetzalwardError` of kind `unauthenticated`.
        """
        match = _BEARER.fullmatch(head.get("authorization") or "")
        if match:
            digest = hashlib.sha256(match.group(1).encode()).hexdigest()
            name = self._index(configuration).get(digest)
            if name is not None:
                return Customer(name, configuration.customers[name])
        raise errors.QuetzalwardError(
            errors.ErrorKind.UNAUTHENTICATED,
            "the Authorization header does not contain a known API key",
        )

    def _index(self, configuration: config.Configuration) -> dict[str, str]:
        with self._lock:
            if self._indexed_configuration is not configuration:
                self._names_by_hash = {
                    digest.lower(): name
                    for name, customer in configuration.customers.items()
                    for digest in customer.key_sha256
                }
                self._indexed_configuration = configuration
            return self._names_by_hash


def base_model(configuration: config.Configuration, name: str) -> str | None:
    """Return the model that a model, adapter or version name belongs to."""
    if name in configuration.models:
        return name
    for base, model in configuration.models.items():
        if name in model.adapters or name in model.versions:
            return base
    return None


def visible_models(
    configuration: config.Configuration, customer: Customer
) -> list[str]:
    """Return every model, adapter and version that a customer may use."""
    names = []
    for base, model in sorted(configuration.models.items()):
        for name in (base, *model.adapters, *model.versions):
            if customer.may_use_model(name, base):
                names.append(name)
    return names

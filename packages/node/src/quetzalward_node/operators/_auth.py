"""Authentication of operators by bearer token."""

import hashlib
import hmac

from quetzalward_core import config
from quetzalward_core import errors

BOOTSTRAP_OPERATOR = "bootstrap"
_SCHEME = "bearer "


def authenticate(
    header: str,
    configuration: config.Configuration,
    bootstrap_sha256: str | None,
) -> str:
    """Return the operator's name.

    The bootstrap token of the settings is valid only while the configuration
    names no operator. Raises `QuetzalwardError` of kind `unauthenticated`.
    """
    if not header.lower().startswith(_SCHEME):
        raise errors.QuetzalwardError(
            errors.ErrorKind.UNAUTHENTICATED,
            "send the operator's token as Authorization: Bearer",
        )
    token = header[len(_SCHEME) :].strip().encode("utf-8", "replace")
    digest = hashlib.sha256(token).hexdigest()
    for name, operator in configuration.operators.items():
        if hmac.compare_digest(operator.token_sha256, digest):
            return name
    if not configuration.operators and bootstrap_sha256:
        if hmac.compare_digest(bootstrap_sha256, digest):
            return BOOTSTRAP_OPERATOR
    raise errors.QuetzalwardError(
        errors.ErrorKind.UNAUTHENTICATED, "no operator has this token"
    )

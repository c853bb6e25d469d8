"""A node's settings, read from one JSON file."""

import json
import pathlib

import attrs
import cattrs

from quetzalward_core import errors

_CONVERTER = cattrs.Converter(forbid_extra_keys=True)


@attrs.frozen
class TlsSettings:
    """Paths of the TLS files; the files are reloaded when they change."""

    certificate_file: str
    key_file: str
    ca_file: str


@attrs.frozen
class Settings:
    """Settings that a node needs before it can read the control log.

    Addresses (`listen`, `*_listen`) are `IP:port`.
    """

    name: str
    zone: str
    region: str
    listen: str
    operators_listen: str
    peers_listen: str
    log_url: str
    hosts_url: str
    weights_url: str
    secret_file: str
    bootstrap_operator_sha256: str | None = None
    serve_without_log: str = "majority"
    call_streams: int = 1
    threads: int = 320
    stop_timeout_ms: int = 120_000
    tls: TlsSettings | None = None
    trace_file: str | None = None


def load_settings(path: str) -> Settings:
    """Read and validate the settings file.

    Raises `QuetzalwardError` of kind `config_invalid` naming file and cause.
    """
    try:
        document = json.loads(pathlib.Path(path).read_text())
        return _CONVERTER.structure(document, Settings)
    except (OSError, ValueError, cattrs.BaseValidationError) as error:
        causes = [str(error)]
        if isinstance(error, cattrs.BaseValidationError):
            causes = cattrs.transform_error(error)
        raise errors.QuetzalwardError(
            errors.ErrorKind.CONFIG_INVALID, f"{path}: {'; '.join(causes)}"
        ) from error

"""The status call of a plain service, which tells whether a key ran."""

import typing
import urllib.parse

import urllib3

from quetzalward_core import config

TIMEOUT_S = 2.0
_RAN = 200
_NOT_RUN = 404


class ServiceStatus:
    """Implements `interfaces.CallStatus` over HTTP."""

    def __init__(
        self, configuration: typing.Callable[[], config.Configuration]
    ) -> None:
        """Read services and their status paths from the configuration."""
        self._configuration = configuration
        self._pool = urllib3.PoolManager(
            timeout=urllib3.Timeout(TIMEOUT_S), retries=False
        )

    def ran(self, service: str, key: str) -> bool | None:
        """Ask the service's replicas in turn; see `CallStatus`."""
        known = self._configuration().services.get(service)
        if known is None or known.status_path is None:
            return None
        path = known.status_path.replace(
            "{key}", urllib.parse.quote(key, safe="")
        )
        for target in known.targets:
            try:
                answer = self._pool.request("GET", target.url + path)
            except urllib3.exceptions.HTTPError:
                continue
            if answer.status == _RAN:
                return True
            if answer.status == _NOT_RUN:
                return False
        return None

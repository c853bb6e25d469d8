"""Asks a plain service whether the call with a given key ran."""

import typing
import urllib.parse

import urllib3

from quetzalward_core import config

TIMEOUT_S = 2.0
_RAN_STATUS = 200
_NOT_RUN_STATUS = 404


class ServiceStatus:
    """Implements `interfaces.CallStatus` over HTTP."""

    def __init__(
        self, configuration: typing.Callable[[], config.Configuration]
    ) -> None:
        """Take the source of services and their status paths."""
        self._configuration = configuration
        self._pool = urllib3.PoolManager(
            timeout=urllib3.Timeout(TIMEOUT_S), retries=False
        )

    def ran(self, service: str, key: str) -> bool | None:
        """Query the service's replicas in turn; see `CallStatus`."""
        service_config = self._configuration().services.get(service)
        if service_config is None or service_config.status_path is None:
            return None
        path = service_config.status_path.replace(
            "{key}", urllib.parse.quote(key, safe="")
        )
        for target in service_config.targets:
            try:
                answer = self._pool.request("GET", target.url + path)
            except urllib3.exceptions.HTTPError:
                continue
            if answer.status == _RAN_STATUS:
                return True
            if answer.status == _NOT_RUN_STATUS:
                return False
        return None

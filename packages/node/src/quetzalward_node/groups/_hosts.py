"""Host list, shared with the targets task so that a node reads it once."""

import typing

import attrs

from quetzalward_core import routing
from quetzalward_node.groups import _platform


def _listed_host(entry: routing.HostEntry) -> _platform.ListedHost:
    return _platform.ListedHost(
        entry.host,
        entry.zone,
        entry.domain,
        int(entry.incarnation),
        "leaving" if entry.leaving else "live",
        entry.engine_url,
    )


@attrs.define
class ListedHostSource:
    """Implements `HostSource` on the list that the targets task reads."""

    _read: typing.Callable[[], routing.HostList | None]
    _converted: tuple[routing.HostList, _platform.HostListing] | None = None

    def listing(self) -> _platform.HostListing | None:
        """Return the newest list; each list is converted only once."""
        newest = self._read()
        if newest is None:
            return None
        if self._converted is None or self._converted[0] is not newest:
            hosts = {
                name: _listed_host(entry)
                for name, entry in newest.hosts.items()
            }
            listing = _platform.HostListing(newest.as_of_ms, hosts)
            self._converted = (newest, listing)
        return self._converted[1]

"""Addresses of the other nodes, which the holder's views spread."""

from quetzalward_core import clock

# Addresses in one view; all of 390 nodes take 25 views.
ADDRESSES_PER_VIEW = 16
# A node that no view has listed for this long is no longer written to.
MAX_AGE_MS = 30_000


class PeerAddresses:
    """Nodes to which the next holder sends its first messages.

    With them a new term becomes known by its holder's messages. Otherwise
    every node would have to read it from the store.
    """

    def __init__(self) -> None:
        """Start without addresses."""
        self._listed_ms_by_address: dict[str, clock.Millis] = {}
        self._position = 0

    def record(self, addresses: tuple[str, ...], now_ms: clock.Millis) -> None:
        """Record addresses that a view lists."""
        for address in addresses:
            self._listed_ms_by_address[address] = now_ms

    def current(self, now_ms: clock.Millis) -> list[str]:
        """Return the addresses that were listed recently; drop the others."""
        self._listed_ms_by_address = {
            address: listed_ms
            for address, listed_ms in self._listed_ms_by_address.items()
            if now_ms - listed_ms <= MAX_AGE_MS
        }
        return list(self._listed_ms_by_address)

    def next_listed(self, addresses: list[str]) -> tuple[str, ...]:
        """Return the addresses to list in the next view, in turns."""
        if len(addresses) <= ADDRESSES_PER_VIEW:
            return tuple(addresses)
        start = self._position % len(addresses)
        self._position = start + ADDRESSES_PER_VIEW
        doubled = addresses + addresses
        return tuple(doubled[start : start + ADDRESSES_PER_VIEW])

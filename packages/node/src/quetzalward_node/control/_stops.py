"""Stop orders given to this node directly."""

import threading

import attrs


@attrs.define
class LocalStops:
    """Remembers the highest basis of each stop order."""

    _lock: threading.Lock = attrs.field(factory=threading.Lock)
    _basis_by_zone: dict[str, int] = attrs.field(factory=dict)
    _basis_by_target: dict[str, int] = attrs.field(factory=dict)

    def stop_zone(self, zone: str, basis: int) -> None:
        """Stop new work to a zone."""
        with self._lock:
            known = self._basis_by_zone.get(zone, -1)
            changed = {zone: max(known, basis)}
            self._basis_by_zone = {**self._basis_by_zone, **changed}

    def stop_target(self, target: str, basis: int) -> None:
        """Stop new work to a target."""
        with self._lock:
            known = self._basis_by_target.get(target, -1)
            changed = {target: max(known, basis)}
            self._basis_by_target = {**self._basis_by_target, **changed}

    def zones(self) -> dict[str, int]:
        """Return the highest basis by zone; not to be changed."""
        return self._basis_by_zone

    def targets(self) -> dict[str, int]:
        """Return the highest basis by target; not to be changed."""
        return self._basis_by_target

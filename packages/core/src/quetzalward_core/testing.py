"""Builders of test data, shared by the tests of every package."""

from quetzalward_core import config
from quetzalward_core import formation


def formation_hosts(
    zones: int, domains: int, hosts: int
) -> dict[str, formation.Host]:
    """Return live hosts, `hosts` in each of `domains` domains a zone."""
    found = {}
    for z in range(zones):
        for d in range(domains):
            for h in range(hosts):
                name = f"z{z}-d{d}-h{h:02d}"
                found[name] = formation.Host(name, f"z{z}", f"z{z}-d{d}", 1)
    return found


def formation_fleet(
    models: dict[str, config.Model],
    zones: int = 3,
    domains: int = 2,
    hosts: int = 8,
) -> formation.Fleet:
    """Return a fleet without groups."""
    return formation.Fleet(
        models,
        formation_hosts(zones, domains, hosts),
        {},
        frozenset(f"z{z}" for z in range(zones)),
    )

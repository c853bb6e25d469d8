"""Builders of test data, shared by the tests of every package."""

import hashlib
import typing

from quetzalward_core import config
from quetzalward_core import formation

Document = dict[str, typing.Any]

API_KEY = "test-key"
OPERATOR_TOKEN = "test-token"


def sha256(text: str) -> str:
    """Return the SHA-256 of a text in hex."""
    return hashlib.sha256(text.encode()).hexdigest()


def config_document(**sections: typing.Any) -> Document:
    """Return a small valid configuration; sections replace the defaults."""
    document: Document = {
        "zones": {
            name: {"region": "r1"} for name in ("zone-a", "zone-b", "zone-c")
        },
        "models": {
            "draft": {
                "hosts_per_replica": 2,
                "replicas": 3,
                "adapters": ["draft-legal"],
            }
        },
        "services": {
            "booking": {
                "targets": [{"url": "http://127.0.0.1:9", "zone": "zone-a"}]
            }
        },
        "customers": {"north": {"key_sha256": [sha256(API_KEY)]}},
        "operators": {"ops": {"token_sha256": sha256(OPERATOR_TOKEN)}},
    }
    document.update(sections)
    return document


def configuration(**sections: typing.Any) -> config.Configuration:
    """Return a small valid configuration object."""
    return config.from_document(config_document(**sections))


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

"""Builders of test data, shared by the tests of all packages."""

import hashlib
import typing

from quetzalward_core import config
from quetzalward_core import formation
from quetzalward_core import routing

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
    zone_count: int, domains_per_zone: int, hosts_per_domain: int
) -> dict[str, formation.Host]:
    """Return live hosts by id, evenly spread over zones and domains."""
    hosts_by_id = {}
    for z in range(zone_count):
        for d in range(domains_per_zone):
            for h in range(hosts_per_domain):
                name = f"z{z}-d{d}-h{h:02d}"
                hosts_by_id[name] = formation.Host(
                    name, f"z{z}", f"z{z}-d{d}", 1
                )
    return hosts_by_id


def formation_fleet(
    models: dict[str, config.Model],
    zone_count: int = 3,
    domains_per_zone: int = 2,
    hosts_per_domain: int = 8,
) -> formation.Fleet:
    """Return a fleet without groups."""
    return formation.Fleet(
        models,
        formation_hosts(zone_count, domains_per_zone, hosts_per_domain),
        {},
        frozenset(f"z{z}" for z in range(zone_count)),
    )


def make_group(
    group_id: str = "g1", model: str = "m", zone: str = "z1", **fields: object
) -> routing.GroupView:
    """Return a serving group of two hosts that are named after it."""
    defaults: dict[str, typing.Any] = {
        "epoch": 1024,
        "state": routing.SERVING,
        "hosts": tuple(
            routing.HostId(f"{group_id}-h{n}", "1") for n in range(2)
        ),
    }
    return routing.GroupView(
        group_id=group_id, model=model, zone=zone, **(defaults | fields)
    )


def make_report(
    group: routing.GroupView, as_of_ms: int = 0, **fields: object
) -> routing.EngineReport:
    """Return the report of a warm and idle engine on the group's hosts."""
    defaults: dict[str, typing.Any] = {
        "epoch": group.epoch,
        "hosts": frozenset(group.hosts),
        "state": routing.EngineState.WARM,
        "models": frozenset({group.model}),
        "running": 0,
        "waiting": 0,
        "kv_used": 0.0,
        "token_ms": 30.0,
        "bearable": 16,
    }
    return routing.EngineReport(
        target_id=group.group_id, as_of_ms=as_of_ms, **(defaults | fields)
    )


def make_host_list(
    groups: typing.Iterable[routing.GroupView], as_of_ms: int = 0
) -> routing.HostList:
    """Return a host list on which all hosts of the groups are live."""
    entries = {
        member.host: routing.HostEntry(
            member.host,
            member.incarnation,
            group.zone,
            "d1",
            False,
            f"http://127.0.0.1:1/{member.host}",
        )
        for group in groups
        for member in group.hosts
    }
    return routing.HostList(as_of_ms, entries)

"""Recorded schedules of failures and planned changes."""

import random
import typing

import attrs

from quetzalward_core import clock
from quetzalward_core import config
from quetzalward_core import formation

SECOND_MS = 1_000
MINUTE_MS = 60 * SECOND_MS
HOUR_MS = 60 * MINUTE_MS
DAY_MS = 24 * HOUR_MS


@attrs.frozen(order=True)
class Event:
    """Something that happens to hosts or to a zone at a time.

    Kinds: `lose`, `return` (the same process), `restart` (a new incarnation),
    `leave`, `out` and `in`.
    """

    at_ms: clock.Millis
    kind: str
    names: tuple[str, ...]


@attrs.frozen
class Scenario:
    """A fleet and what happens to it."""

    name: str
    fleet: formation.Fleet
    events: tuple[Event, ...]
    end_ms: clock.Millis


@attrs.frozen
class Rates:
    """How often something happens in a fleet, per day."""

    failures: int
    restarts: int
    # Pauses and lost messages: gaps after which the same process goes on.
    gaps: int


def _hosts(
    domains_by_zone: typing.Mapping[str, int], size: int
) -> dict[str, formation.Host]:
    """Return live hosts in domains of one size."""
    hosts = {}
    for zone, count in domains_by_zone.items():
        for number in range(count):
            domain = f"{zone}-d{number:02d}"
            for index in range(size):
                name = f"{domain}-h{index:02d}"
                hosts[name] = formation.Host(name, zone, domain, 1)
    return hosts


def _single_events(
    rng: random.Random,
    hosts: typing.Sequence[str],
    rates: Rates,
    days: int,
) -> list[Event]:
    """Return failures, restarts and gaps of single hosts."""
    events = []

    def add(at_ms: int, kind: str, name: str) -> None:
        events.append(Event(at_ms, kind, (name,)))

    for _ in range(rates.failures * days):
        at_ms, name = rng.randrange(days * DAY_MS), rng.choice(hosts)
        down_ms = rng.randrange(30 * MINUTE_MS, 4 * HOUR_MS)
        add(at_ms, "lose", name)
        add(at_ms + down_ms, "restart", name)
    for _ in range(rates.restarts * days):
        at_ms, name = rng.randrange(days * DAY_MS), rng.choice(hosts)
        add(at_ms, "leave", name)
        add(at_ms + 2 * MINUTE_MS, "lose", name)
        add(at_ms + 7 * MINUTE_MS, "restart", name)
    for _ in range(rates.gaps * days):
        at_ms, name = rng.randrange(days * DAY_MS), rng.choice(hosts)
        # Most gaps are shorter than the hysteresis.
        gap_ms = int(SECOND_MS * rng.lognormvariate(0.7, 0.8))
        add(at_ms, "lose", name)
        add(at_ms + gap_ms, "return", name)
    return events


def _large_events(
    rng: random.Random,
    hosts: typing.Mapping[str, formation.Host],
    days: int,
) -> list[Event]:
    """Return the failure of one domain, and one zone out and in."""
    domains = sorted({host.domain for host in hosts.values()})
    domain = rng.choice(domains)
    members = tuple(sorted(n for n, h in hosts.items() if h.domain == domain))
    at_ms = rng.randrange(days * DAY_MS // 2)
    zone = rng.choice(sorted({host.zone for host in hosts.values()}))
    out_ms = days * DAY_MS // 2 + rng.randrange(days * DAY_MS // 4)
    inside = sorted(n for n, h in hosts.items() if h.zone == zone)
    # Some hosts are restarted while their zone is out.
    serviced = tuple(rng.sample(inside, len(inside) // 20))
    return [
        Event(at_ms, "lose", members),
        Event(at_ms + HOUR_MS, "restart", members),
        Event(out_ms, "out", (zone,)),
        Event(out_ms + HOUR_MS, "lose", serviced),
        Event(out_ms + HOUR_MS + 5 * MINUTE_MS, "restart", serviced),
        Event(out_ms + 2 * HOUR_MS, "in", (zone,)),
    ]


def _scenario(
    name: str,
    models: typing.Mapping[str, config.Model],
    hosts: dict[str, formation.Host],
    rates: Rates,
    days: int,
    seed: int,
) -> Scenario:
    """Return a scenario whose events follow from the seed."""
    rng = random.Random(seed)
    zones = frozenset(host.zone for host in hosts.values())
    fleet = formation.Fleet(models, hosts, {}, zones)
    events = _single_events(rng, sorted(hosts), rates, days)
    events += _large_events(rng, hosts, days)
    # The first hour forms the fleet and is not measured.
    shifted = [attrs.evolve(e, at_ms=e.at_ms + HOUR_MS) for e in events]
    end_ms = HOUR_MS + days * DAY_MS + 6 * HOUR_MS
    return Scenario(name, fleet, tuple(sorted(shifted)), end_ms)


def today(seed: int, days: int) -> Scenario:
    """Return 50 replicas of 4 and 8 hosts in 3 zones, 336 hosts."""
    models = {
        "quotes": config.Model(8, 14, importance=3),
        "summaries": config.Model(4, 18, importance=2),
        "layouts": config.Model(8, 8, importance=2),
        "drafts": config.Model(4, 10, importance=1),
    }
    # 288 hosts are needed; domains of 28 hold three groups of 8 and one of 4.
    hosts = _hosts({"z0": 4, "z1": 4, "z2": 4}, 28)
    return _scenario("today", models, hosts, Rates(2, 12, 12), days, seed)


def target(seed: int, days: int) -> Scenario:
    """Return 710 replicas of 8 hosts in 6 zones, 5,696 hosts.

    Domains of 64: with equal zones and smaller domains, 5,700 hosts hold
    fewer than 710 groups.
    """
    models = {
        f"model-{index}": config.Model(8, 71, importance=1 + index % 4)
        for index in range(10)
    }
    counts = {f"z{index}": 15 for index in range(5)}
    hosts = _hosts({**counts, "z5": 14}, 64)
    return _scenario("target", models, hosts, Rates(6, 180, 60), days, seed)

"""Generated load: who asks for what, and when."""

import random
import typing

import attrs

from quetzalward_standins import cluster

PREFIX_CHARS = 1_024
TEMPLATES = 6


@attrs.frozen
class Customer:
    """One customer of a generated load."""

    name: str
    size: str
    rate_per_s: float

    @property
    def api_key(self) -> str:
        """Return the customer's key."""
        return f"key-of-{self.name}"


CUSTOMERS = (
    *(Customer(f"large-{n}", "large", 6.5) for n in (1, 2)),
    *(Customer(f"small-{n}", "small", 1.0) for n in (1, 2, 3, 4, 5)),
)


@attrs.frozen
class Arrival:
    """One request of the load."""

    at_s: float
    customer: Customer
    body: dict[str, typing.Any]


def customers_document(
    customers: typing.Sequence[Customer],
) -> dict[str, typing.Any]:
    """Return the customers as the configuration declares them."""
    return {
        customer.name: {"key_sha256": [cluster.sha256(customer.api_key)]}
        for customer in customers
    }


def body(
    customer: str, template: int, number: int, tokens: int
) -> dict[str, typing.Any]:
    """Return a request with one of a customer's prompt prefixes."""
    prefix = f"{customer} template {template}. " * PREFIX_CHARS
    return {
        "model": cluster.MODEL,
        "max_tokens": tokens,
        "messages": [
            {"role": "system", "content": prefix[:PREFIX_CHARS]},
            {"role": "user", "content": f"{customer} quote {number}"},
        ],
    }


def arrivals(
    customers: typing.Sequence[Customer],
    length_s: float,
    tokens: int,
    seed: int,
) -> list[Arrival]:
    """Return Poisson arrivals of all customers in order of time."""
    found: list[Arrival] = []
    for customer in customers:
        rng = random.Random(f"{seed}/{customer.name}")
        at_s = rng.expovariate(customer.rate_per_s)
        while at_s < length_s:
            request = body(
                customer.name, rng.randrange(TEMPLATES), len(found), tokens
            )
            found.append(Arrival(at_s, customer, request))
            at_s += rng.expovariate(customer.rate_per_s)
    return sorted(found, key=lambda arrival: arrival.at_s)

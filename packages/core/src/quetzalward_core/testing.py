"""Builders of test data, shared by the tests of every package."""

import hashlib
import typing

from quetzalward_core import config

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

"""Stand-in of the operators, who write configurations to the store."""

import itertools
import json
import time
import typing

from quetzalward_core import fleet
from quetzalward_standins.platform import _store

OPERATIONS_TOPIC = "keyed.op"
HOST = "gateway.example"


class Operator:
    """Publishes configurations and evacuations."""

    def __init__(self, store: _store.Store, engine: fleet.Engine) -> None:
        """Write to a store; each configuration describes the engine."""
        self._store = store
        self._engine = engine
        self.version = 0
        self.keys = {"north": ["key-north"], "south": ["key-south"]}
        # Time of revocation (monotonic clock).
        self.revoked_s_by_key: dict[str, float] = {}
        # Time of the first publication (monotonic clock).
        self.published_s_by_key: dict[str, float] = {}
        self.evacuated_zones: set[str] = set()

    def publish(self) -> None:
        """Publish the next version of the configuration."""
        self.version += 3
        self._write_configuration()
        for key in itertools.chain(*self.keys.values()):
            self.published_s_by_key.setdefault(key, time.monotonic())

    def _write_configuration(self) -> None:
        self._store.put(
            OPERATIONS_TOPIC, "config", json.dumps(self._document()).encode()
        )

    def write_again(self) -> None:
        """Write what a restored store may have lost, or may have again."""
        self._write_configuration()
        for zone in self.evacuated_zones:
            self.evacuate(zone)
        prefix = "evacuate/"
        for key in self._store.topic_by_name[OPERATIONS_TOPIC].newest():
            zone = key.removeprefix(prefix)
            if key.startswith(prefix) and zone not in self.evacuated_zones:
                self.end_evacuation(zone)

    def revoke(self, tenant: str) -> str:
        """Replace a customer's key; return the revoked key."""
        old = self.keys[tenant].pop()
        self.keys[tenant].append(f"key-{tenant}-{self.version}")
        self.publish()
        self.revoked_s_by_key[old] = time.monotonic()
        return old

    def evacuate(self, zone: str) -> None:
        """Request that no further traffic be sent to a zone."""
        self.evacuated_zones.add(zone)
        self._store.put(OPERATIONS_TOPIC, f"evacuate/{zone}", b"{}")

    def end_evacuation(self, zone: str) -> None:
        """End an evacuation."""
        self.evacuated_zones.discard(zone)
        self._store.delete(OPERATIONS_TOPIC, f"evacuate/{zone}")

    def _document(self) -> dict[str, typing.Any]:
        return {
            "version": self.version,
            "routes": [
                self._route("draft", "/draft/", "streaming", "pool", 2, True),
                self._route("once", "/once/", "streaming", "pool", 1),
                self._route("book", "/book/", "non_idempotent", "desk", 1),
                self._route("stock", "/stock/", "idempotent", "desk", 2),
            ],
            "services": [
                {"name": "pool", "engine": self._engine_document()},
                {"name": "desk"},
            ],
            "limits": {"idleTimeoutMs": 15_000},
            "tenants": [
                {"name": name, "apiKeys": keys}
                for name, keys in self.keys.items()
            ],
        }

    @staticmethod
    def _route(
        name: str,
        prefix: str,
        kind: str,
        service: str,
        attempts: int,
        can_resume: bool = False,
    ) -> dict[str, typing.Any]:
        return {
            "name": name,
            "host": HOST,
            "pathPrefix": prefix,
            "kind": kind,
            "timeoutMs": 6_000,
            "sloMs": 400,
            "priority": 1,
            "service": service,
            "maxAttempts": attempts,
            "anonymous": False,
            "canResume": can_resume,
        }

    def _engine_document(self) -> dict[str, typing.Any]:
        engine = self._engine
        return {
            "slots": engine.slots,
            "stride": engine.stride,
            "step_ms": engine.step_ms,
            "per_seq_ms": engine.per_sequence_ms,
            "context_per_k": engine.context_ms_per_k,
            "read_per_s": engine.read_tokens_per_ms * 1000,
            "pairs_per_m": engine.pairs_ms_per_m,
            "loadsPerS": engine.loads_per_s,
            "loads_at_once": engine.loads_at_once,
            "keeps": engine.keeps,
            "formMs": engine.form_ms,
            "usual": {
                "prompt": engine.typical_prompt_tokens,
                "answer": engine.typical_answer_tokens,
            },
            "models": [
                {
                    "name": model.name,
                    "size": model.group_size,
                    "share": model.share,
                    "pace": model.pace,
                    "loadS": model.load_ms / 1000,
                    "warmS": model.warm_ms / 1000,
                }
                for model in engine.models_by_name.values()
            ],
        }

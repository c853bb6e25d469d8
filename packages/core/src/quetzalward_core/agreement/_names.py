"""Names of writers and of streams."""

import hashlib
import json

CONTROL_STREAM = "control"


def writer_name(node: str, nonce: str) -> str:
    """Return the writer name of one process of a node."""
    return f"{node}#{nonce}"


def split_writer(writer: str) -> tuple[str, str]:
    """Split a writer name into node name and nonce."""
    node, _, nonce = writer.rpartition("#")
    return node, nonce


def call_stream(customer: str, key: str, streams: int) -> str:
    """Return the name of the call stream of a customer's key."""
    subject = json.dumps([customer, key]).encode()
    digest = hashlib.sha256(subject).digest()
    return f"calls-{int.from_bytes(digest[:8], 'big') % streams}"

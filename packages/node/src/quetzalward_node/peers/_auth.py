"""Authentication of calls between nodes by the cluster secret.

A request's MAC covers the method, the names of both nodes, a random nonce and
the message, so that a message for one node or method cannot be replayed to
another. A response's MAC covers the nonce of its request.
"""

import hashlib
import hmac
import secrets
import typing

SENDER = "quetzalward-sender"
NONCE = "quetzalward-nonce"
MAC = "quetzalward-mac"
MIN_SECRET_BYTES = 16
_NONCE_BYTES = 12

Metadata = typing.Sequence[tuple[str, str | bytes]]


def new_nonce() -> str:
    """Return a random nonce for one call."""
    return secrets.token_hex(_NONCE_BYTES)


def _mac(secret: bytes, parts: typing.Iterable[bytes]) -> str:
    """Return the HMAC-SHA-256 of the parts, each prefixed with its length."""
    mac = hmac.new(secret, digestmod=hashlib.sha256)
    for part in parts:
        mac.update(len(part).to_bytes(4, "big"))
        mac.update(part)
    return mac.hexdigest()


class Authenticator:
    """Signs and verifies the messages of one node."""

    def __init__(self, node: str, secret: bytes) -> None:
        """Sign as `node`; raises `ValueError` if the secret is too short."""
        if len(secret) < MIN_SECRET_BYTES:
            raise ValueError(
                f"the cluster secret must be at least {MIN_SECRET_BYTES} bytes"
            )
        self.node = node
        self._secret = secret

    def request_metadata(
        self, method: str, receiver: str, nonce: str, body: bytes
    ) -> tuple[tuple[str, str], ...]:
        """Return the metadata that authenticates a request."""
        mac = self._request_mac(method, self.node, receiver, nonce, body)
        return ((SENDER, self.node), (NONCE, nonce), (MAC, mac))

    def verify_request(
        self, method: str, metadata: Metadata, body: bytes
    ) -> tuple[str, str] | None:
        """Return sender and nonce, or `None` if the MAC does not match."""
        headers = {key: str(value) for key, value in metadata}
        sender, nonce = headers.get(SENDER, ""), headers.get(NONCE, "")
        expected_mac = self._request_mac(
            method, sender, self.node, nonce, body
        )
        if not nonce or not _digests_equal(headers.get(MAC, ""), expected_mac):
            return None
        return sender, nonce

    def response_metadata(
        self, method: str, nonce: str, body: bytes
    ) -> tuple[tuple[str, str], ...]:
        """Return the trailing metadata that authenticates a response."""
        return ((MAC, self._response_mac(method, self.node, nonce, body)),)

    def verify_response(
        self,
        method: str,
        responder: str,
        nonce: str,
        metadata: Metadata,
        body: bytes,
    ) -> bool:
        """Return whether `responder` sent this response to the request."""
        headers = {key: str(value) for key, value in metadata}
        expected_mac = self._response_mac(method, responder, nonce, body)
        return _digests_equal(headers.get(MAC, ""), expected_mac)

    def _request_mac(
        self, method: str, sender: str, receiver: str, nonce: str, body: bytes
    ) -> str:
        names = (method, sender, receiver, nonce)
        parts = [b"request", *(name.encode() for name in names), body]
        return _mac(self._secret, parts)

    def _response_mac(
        self, method: str, responder: str, nonce: str, body: bytes
    ) -> str:
        names = (method, responder, nonce)
        parts = [b"answer", *(name.encode() for name in names), body]
        return _mac(self._secret, parts)


def _digests_equal(left: str, right: str) -> bool:
    return hmac.compare_digest(left.encode(), right.encode())

"""Authentication of calls between nodes by the cluster secret.

A MAC covers the method, both nodes' names, a random nonce and the message,
so that a message for one node or method cannot be used for another. The
answer's MAC covers the request's nonce.
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
    """Return a nonce for one call."""
    return secrets.token_hex(_NONCE_BYTES)


def _mac(secret: bytes, parts: typing.Iterable[bytes]) -> str:
    """Return the MAC of parts, each preceded by its length."""
    mac = hmac.new(secret, digestmod=hashlib.sha256)
    for part in parts:
        mac.update(len(part).to_bytes(4, "big"))
        mac.update(part)
    return mac.hexdigest()


class Authenticator:
    """Signs and checks messages of one node."""

    def __init__(self, own: str, secret: bytes) -> None:
        """Use the cluster secret; raises `ValueError` if it is short."""
        if len(secret) < MIN_SECRET_BYTES:
            raise ValueError(
                f"the cluster secret needs {MIN_SECRET_BYTES} bytes or more"
            )
        self.own = own
        self._secret = secret

    def request_metadata(
        self, method: str, receiver: str, nonce: str, body: bytes
    ) -> tuple[tuple[str, str], ...]:
        """Return the metadata of a request."""
        mac = self._request_mac(method, self.own, receiver, nonce, body)
        return ((SENDER, self.own), (NONCE, nonce), (MAC, mac))

    def check_request(
        self, method: str, metadata: Metadata, body: bytes
    ) -> tuple[str, str] | None:
        """Return sender and nonce, or `None` if the MAC is wrong."""
        found = {key: str(value) for key, value in metadata}
        sender, nonce = found.get(SENDER, ""), found.get(NONCE, "")
        wanted = self._request_mac(method, sender, self.own, nonce, body)
        if not nonce or not _equal(found.get(MAC, ""), wanted):
            return None
        return sender, nonce

    def answer_metadata(
        self, method: str, nonce: str, body: bytes
    ) -> tuple[tuple[str, str], ...]:
        """Return the trailing metadata of an answer."""
        return ((MAC, self._answer_mac(method, self.own, nonce, body)),)

    def check_answer(
        self,
        method: str,
        answerer: str,
        nonce: str,
        metadata: Metadata,
        body: bytes,
    ) -> bool:
        """Tell whether an answer is the node's own to this request."""
        found = {key: str(value) for key, value in metadata}
        wanted = self._answer_mac(method, answerer, nonce, body)
        return _equal(found.get(MAC, ""), wanted)

    def _request_mac(
        self, method: str, sender: str, receiver: str, nonce: str, body: bytes
    ) -> str:
        names = (method, sender, receiver, nonce)
        parts = [b"request", *(name.encode() for name in names), body]
        return _mac(self._secret, parts)

    def _answer_mac(
        self, method: str, answerer: str, nonce: str, body: bytes
    ) -> str:
        names = (method, answerer, nonce)
        parts = [b"answer", *(name.encode() for name in names), body]
        return _mac(self._secret, parts)


def _equal(one: str, other: str) -> bool:
    return hmac.compare_digest(one.encode(), other.encode())

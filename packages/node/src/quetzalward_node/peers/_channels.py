"""Calls to other nodes over a bounded pool of gRPC channels."""

import collections
import os
import threading
import typing

import attrs
import grpc

from quetzalward_core import clock as clocks
from quetzalward_node import _settings
from quetzalward_node.peers import _auth

SERVICE = "quetzalward.peer.v1.Peers"
# Four times the size of the largest digest.
MAX_MESSAGE_BYTES = 16_384
MAX_CHANNELS = 32
_OPTIONS = (
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    # Channels must not share a connection, or closing one channel would leave
    # its connection open.
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.enable_retries", 0),
    ("grpc.max_reconnect_backoff_ms", 2_000),
)


class CallError(Exception):
    """A call to a peer failed or its response was not usable."""


@attrs.frozen
class Peer:
    """A node's name and the address it serves other nodes on."""

    name: str
    address: str


@attrs.define
class _OpenChannel:
    """An open channel, and the mtime of the key files it was opened with."""

    channel: grpc.Channel
    key_files_mtime: float


def method_path(method: str) -> str:
    """Return the full gRPC path of a method."""
    return f"/{SERVICE}/{method}"


def _identity(body: bytes) -> bytes:
    """Skip (de)serialization, because the MAC covers the encoded bytes."""
    return body


def read_file(path: str) -> bytes:
    """Return the content of a file; raises `OSError`."""
    with open(path, "rb") as file:
        return file.read()


def key_files_mtime(tls: _settings.TlsSettings | None) -> float:
    """Return the latest mtime of the TLS files in seconds; 0 without TLS.

    Raises `OSError` if a file is missing.
    """
    if tls is None:
        return 0.0
    files = (tls.certificate_file, tls.key_file, tls.ca_file)
    return max(os.stat(path).st_mtime for path in files)


class ChannelPool:
    """Opens channels on first use and evicts the least recently used."""

    def __init__(
        self,
        auth: _auth.Authenticator,
        tls: _settings.TlsSettings | None,
    ) -> None:
        """Create an empty pool; channels are opened by the first call."""
        self._auth = auth
        self._tls = tls
        self._lock = threading.Lock()
        self._open_by_address: collections.OrderedDict[str, _OpenChannel] = (
            collections.OrderedDict()
        )
        self.opened_count = 0

    def call(
        self,
        peer: Peer,
        method: str,
        body: bytes,
        timeout_ms: clocks.Millis,
    ) -> bytes:
        """Call a method and wait; raises `CallError` on any failure.

        A blocking call takes 20% less CPU time than a future.
        """
        nonce = _auth.new_nonce()
        request_metadata = self._auth.request_metadata(
            method, peer.name, nonce, body
        )
        try:
            response, call = self._rpc_callable(peer, method).with_call(
                body,
                timeout=timeout_ms / clocks.MILLIS_PER_SECOND,
                metadata=request_metadata,
            )
            metadata = call.trailing_metadata() or ()
        except (OSError, ValueError, grpc.RpcError) as error:
            raise CallError(f"{peer.name}: {error}") from error
        if not self._auth.verify_response(
            method, peer.name, nonce, metadata, response
        ):
            raise CallError(f"{peer.name}: response MAC does not match")
        return bytes(response)

    def send(
        self,
        peer: Peer,
        method: str,
        body: bytes,
        timeout_ms: clocks.Millis,
        on_failure: typing.Callable[[str], None],
    ) -> None:
        """Start a call whose response is ignored; does not wait.

        `on_failure` is called with the reason if the call fails.
        """
        nonce = _auth.new_nonce()
        request_metadata = self._auth.request_metadata(
            method, peer.name, nonce, body
        )
        try:
            call = self._rpc_callable(peer, method).future(
                body,
                timeout=timeout_ms / clocks.MILLIS_PER_SECOND,
                metadata=request_metadata,
            )
        except (OSError, ValueError, grpc.RpcError) as error:
            on_failure(f"{peer.name}: {error}")
            return

        def check(done: grpc.Future) -> None:
            if done.cancelled():
                on_failure(f"{peer.name}: cancelled, channel was closed")
            elif done.exception() is not None:
                on_failure(f"{peer.name}: {done.exception()}")

        call.add_done_callback(check)

    def _rpc_callable(
        self, peer: Peer, method: str
    ) -> "grpc.UnaryUnaryMultiCallable[bytes, bytes]":
        """Return a method's callable; raises `OSError` or `ValueError`."""
        return self._channel(peer.address).unary_unary(
            method_path(method), _identity, _identity
        )

    def _channel(self, address: str) -> grpc.Channel:
        """Return an open channel that uses the current key files."""
        mtime = key_files_mtime(self._tls)
        with self._lock:
            entry = self._open_by_address.get(address)
            if entry is not None and entry.key_files_mtime == mtime:
                self._open_by_address.move_to_end(address)
                return entry.channel
            if entry is not None:
                entry.channel.close()
            channel = self._connect(address)
            self._open_by_address[address] = _OpenChannel(channel, mtime)
            self.opened_count += 1
            while len(self._open_by_address) > MAX_CHANNELS:
                _, evicted = self._open_by_address.popitem(last=False)
                evicted.channel.close()
            return channel

    def _connect(self, address: str) -> grpc.Channel:
        tls = self._tls
        if tls is None:
            return grpc.insecure_channel(address, options=_OPTIONS)
        credentials = grpc.ssl_channel_credentials(
            root_certificates=read_file(tls.ca_file),
            private_key=read_file(tls.key_file),
            certificate_chain=read_file(tls.certificate_file),
        )
        return grpc.secure_channel(address, credentials, options=_OPTIONS)

    def close(self) -> None:
        """Close all channels."""
        with self._lock:
            for entry in self._open_by_address.values():
                entry.channel.close()
            self._open_by_address.clear()

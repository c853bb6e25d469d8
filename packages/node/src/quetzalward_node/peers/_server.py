"""gRPC server for calls from other nodes."""

import concurrent.futures
import typing

import grpc

from quetzalward_node import _settings
from quetzalward_node.peers import _auth
from quetzalward_node.peers import _channels

_WORKERS = 4
# Running and queued calls; further calls are rejected at once.
_MAX_CALLS = 64
_OPTIONS = (
    ("grpc.max_receive_message_length", _channels.MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", _channels.MAX_MESSAGE_BYTES),
    ("grpc.so_reuseport", 0),
    ("grpc.max_concurrent_streams", 16),
)

# Takes the sender's name and the encoded request, returns the response.
Handler = typing.Callable[[str, bytes], bytes]


class BadRequestError(Exception):
    """The request could not be decoded or is invalid."""


class PeerServer:
    """Verifies the MAC of each call and dispatches it by method."""

    def __init__(
        self,
        auth: _auth.Authenticator,
        tls: _settings.TlsSettings | None,
        handlers: typing.Mapping[str, Handler],
    ) -> None:
        """Create the server; `start` binds its address."""
        self._auth = auth
        self._tls = tls
        self.refused_count = 0
        self._server = grpc.server(
            concurrent.futures.ThreadPoolExecutor(
                _WORKERS, thread_name_prefix="peers"
            ),
            options=_OPTIONS,
            maximum_concurrent_rpcs=_MAX_CALLS,
        )
        methods = {
            name: grpc.unary_unary_rpc_method_handler(
                self._authenticated(name, handler)
            )
            for name, handler in handlers.items()
        }
        generic = grpc.method_handlers_generic_handler(
            _channels.SERVICE, methods
        )
        self._server.add_generic_rpc_handlers((generic,))

    def start(self, address: str) -> int:
        """Listen on `IP:port` and return the port.

        Raises `OSError` if the address cannot be bound.
        """
        try:
            if self._tls is None:
                port = self._server.add_insecure_port(address)
            else:
                port = self._server.add_secure_port(
                    address, self._credentials(self._tls)
                )
        except RuntimeError as error:
            raise OSError(f"{address}: {error}") from error
        if port == 0:
            raise OSError(f"{address}: cannot listen")
        self._server.start()
        return int(port)

    def stop(self, grace_s: float) -> None:
        """Reject new calls and wait up to `grace_s` for running ones."""
        self._server.stop(grace_s).wait()

    def _credentials(
        self, tls: _settings.TlsSettings
    ) -> grpc.ServerCredentials:
        """Return credentials that reload changed key files."""

        def load() -> grpc.ServerCertificateConfiguration:
            pair = (
                _channels.read_file(tls.key_file),
                _channels.read_file(tls.certificate_file),
            )
            return grpc.ssl_server_certificate_configuration(
                [pair], root_certificates=_channels.read_file(tls.ca_file)
            )

        loaded_mtime = _channels.key_files_mtime(tls)

        # The type stubs do not know that `None` keeps the current certificate.
        def reload() -> typing.Any:
            nonlocal loaded_mtime
            try:
                mtime = _channels.key_files_mtime(tls)
                if mtime == loaded_mtime:
                    return None
                configuration = load()
            except OSError:
                # The files are being replaced; keep the old certificate.
                return None
            loaded_mtime = mtime
            return configuration

        return grpc.dynamic_ssl_server_credentials(
            load(), reload, require_client_authentication=True
        )

    def _authenticated(
        self, method: str, handler: Handler
    ) -> typing.Callable[[bytes, grpc.ServicerContext], bytes]:
        def handle(body: bytes, context: grpc.ServicerContext) -> bytes:
            verified = self._auth.verify_request(
                method, context.invocation_metadata(), body
            )
            if verified is None:
                self.refused_count += 1
                context.abort(
                    grpc.StatusCode.UNAUTHENTICATED,
                    "request MAC does not match",
                )
                raise AssertionError("abort returned")
            sender, nonce = verified
            try:
                response = handler(sender, body)
            except BadRequestError as error:
                context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))
                raise AssertionError("abort returned") from error
            context.set_trailing_metadata(
                self._auth.response_metadata(method, nonce, response)
            )
            return response

        return handle

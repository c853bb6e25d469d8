"""The gRPC server for other nodes."""

import concurrent.futures
import typing

import grpc

from quetzalward_node import _settings
from quetzalward_node.peers import _auth
from quetzalward_node.peers import _channels

_WORKERS = 4
# Waiting calls beyond the workers; more are refused at once.
_MAX_CALLS = 64
_OPTIONS = (
    ("grpc.max_receive_message_length", _channels.MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", _channels.MAX_MESSAGE_BYTES),
    ("grpc.so_reuseport", 0),
    ("grpc.max_concurrent_streams", 16),
)

# Takes the sender's name and the request, and returns the answer.
Handler = typing.Callable[[str, bytes], bytes]


class BadRequestError(Exception):
    """The request cannot be read."""


class PeerServer:
    """Checks every call's MAC and hands it to a handler by method."""

    def __init__(
        self,
        auth: _auth.Authenticator,
        tls: _settings.TlsSettings | None,
        handlers: typing.Mapping[str, Handler],
    ) -> None:
        """Create the server; `start` listens."""
        self._auth = auth
        self._tls = tls
        self.refused = 0
        self._server = grpc.server(
            concurrent.futures.ThreadPoolExecutor(
                _WORKERS, thread_name_prefix="peers"
            ),
            options=_OPTIONS,
            maximum_concurrent_rpcs=_MAX_CALLS,
        )
        methods = {
            name: grpc.unary_unary_rpc_method_handler(
                self._checked(name, handler)
            )
            for name, handler in handlers.items()
        }
        generic = grpc.method_handlers_generic_handler(
            _channels.SERVICE, methods
        )
        self._server.add_generic_rpc_handlers((generic,))

    def start(self, address: str) -> int:
        """Listen on `IP:port` and return the port; raises `OSError`."""
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
        """Refuse new calls and wait for running ones."""
        self._server.stop(grace_s).wait()

    def _credentials(
        self, tls: _settings.TlsSettings
    ) -> grpc.ServerCredentials:
        """Return credentials that follow changes of the key files."""

        def load() -> grpc.ServerCertificateConfiguration:
            pair = (
                _channels.read_file(tls.key_file),
                _channels.read_file(tls.certificate_file),
            )
            return grpc.ssl_server_certificate_configuration(
                [pair], root_certificates=_channels.read_file(tls.ca_file)
            )

        seen = _channels.keys_changed(tls)

        # The stubs do not know that `None` keeps the present files in use.
        def reload() -> typing.Any:
            nonlocal seen
            try:
                changed = _channels.keys_changed(tls)
                if changed == seen:
                    return None
                fresh = load()
            except OSError:
                # The files are being replaced; the old ones stay in use.
                return None
            seen = changed
            return fresh

        return grpc.dynamic_ssl_server_credentials(
            load(), reload, require_client_authentication=True
        )

    def _checked(
        self, method: str, handler: Handler
    ) -> typing.Callable[[bytes, grpc.ServicerContext], bytes]:
        def handle(body: bytes, context: grpc.ServicerContext) -> bytes:
            found = self._auth.check_request(
                method, context.invocation_metadata(), body
            )
            if found is None:
                self.refused += 1
                context.abort(grpc.StatusCode.UNAUTHENTICATED, "wrong MAC")
                raise AssertionError("abort returned")
            sender, nonce = found
            try:
                answer = handler(sender, body)
            except BadRequestError as error:
                context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))
                raise AssertionError("abort returned") from error
            context.set_trailing_metadata(
                self._auth.answer_metadata(method, nonce, answer)
            )
            return answer

        return handle

"""Fake HTTP server for the operators' API of a node."""

import http.server
import json
import threading
import typing

Response = tuple[int, typing.Any]
Handler = typing.Callable[[str, str, typing.Any], Response | None]


class FakeNode:
    """Serves canned responses.

    A handler that returns None closes the connection without a response.
    """

    def __init__(self, handler: Handler) -> None:
        self.requests: list[tuple[str, str, typing.Any, str | None]] = []
        fake = self

        class _Handler(http.server.BaseHTTPRequestHandler):
            def _serve(self) -> None:
                length = int(self.headers.get("Content-Length") or 0)
                body = json.loads(self.rfile.read(length) or b"null")
                token = self.headers.get("Authorization")
                fake.requests.append((self.command, self.path, body, token))
                response = handler(self.command, self.path, body)
                if response is None:
                    self.close_connection = True
                    return
                status, value = response
                data = json.dumps(value).encode()
                self.send_response(status)
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            do_GET = do_POST = _serve

            def log_message(self, *args: object) -> None:
                del args

        self._server = http.server.ThreadingHTTPServer(
            ("127.0.0.1", 0), _Handler
        )
        port = self._server.server_address[1]
        self.url = f"http://127.0.0.1:{port}"
        self._thread = threading.Thread(
            target=self._server.serve_forever, args=(0.01,), daemon=True
        )
        self._thread.start()

    def close(self) -> None:
        self._server.shutdown()
        self._server.server_close()
        self._thread.join()

"""Log lines of requests that end without an answer, at real gateways."""

import asyncio
import json
import unittest

from functional import gateway_case

from quetzalward_standins.platform import _operator

LOGGED_S = 3.0
SERVICE_S = 2.0


class UnansweredTest(gateway_case.GatewayCase):
    """Guards against requests that leave no line with their id."""

    async def leave(self, attempt_id: str, length: int) -> None:
        """Send a booking with three bytes of its body, and close."""
        port = self.nodes[0].front_port
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        lines = [
            "POST /book/1 HTTP/1.1",
            f"Host: {_operator.HOST}",
            f"Quetzalward-Attempt-Id: {attempt_id}",
            "Authorization: Token key-north",
            f"Content-Length: {length}",
        ]
        writer.write(("\r\n".join(lines) + "\r\n\r\nabc").encode())
        await writer.drain()
        await asyncio.sleep(0.3)
        writer.close()

    def phase_of(self, attempt_id: str) -> str | None:
        """Return the phase in which a request ended, if it was logged."""
        for line in self.nodes[0].log_lines():
            event = json.loads(line)
            if event.get("request") != attempt_id:
                continue
            if event["event"] == "unanswered":
                return str(event["phase"])
        return None

    async def test_ends_are_logged_with_the_id_and_phase(self) -> None:
        """The caller leaves within the body, or while a target works."""
        self.targets.plain_service_s = SERVICE_S
        await self.leave("within-body", 9)
        await self.leave("handled", 3)
        async with asyncio.timeout(LOGGED_S):
            while not self.phase_of("handled"):
                await asyncio.sleep(0.1)
        self.assertEqual("body", self.phase_of("within-body"))
        self.assertEqual("handling", self.phase_of("handled"))


if __name__ == "__main__":
    unittest.main()

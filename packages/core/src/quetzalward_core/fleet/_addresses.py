"""Parsing of addresses that come from elsewhere."""

import ipaddress
import re

from quetzalward_core.fleet import _model

MAX_PORT = 65_535
_PORT = re.compile(r"[0-9]{1,5}", re.ASCII)
# Longest part of a text that an error message shows.
_SHOWN_CHARS = 60


def parse_address(text: str) -> _model.Address:
    """Parse `host:port` with an IPv4 address as host.

    A name would have to be looked up, which takes unbounded time. Raises
    `ValueError` if the text is not an address to send to.
    """
    host, _, port = text.rpartition(":")
    try:
        ip = ipaddress.IPv4Address(host)
    except ValueError:
        ip = None
    if (
        ip is None
        or not _PORT.fullmatch(port)
        or not 1 <= int(port) <= MAX_PORT
    ):
        raise ValueError(
            f"not an IPv4 address and port: {ascii(text[:_SHOWN_CHARS])}"
        )
    return _model.Address(host, int(port))

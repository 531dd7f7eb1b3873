"""Parsing of the addresses in settings."""

import ipaddress
import re
from typing import Final

from carobwalk.model import Address

ADDRESS_FORMAT: Final = (
    'an IP number and a port from 1 to 65535, '
    'such as "127.0.0.1:8080" or "[::1]:8080"'
)

_PATTERN: Final = re.compile(
    r'(?:\[(?P<six>[0-9A-Fa-f:.]+)\]|(?P<four>[0-9.]+)):(?P<port>[0-9]{1,5})',
    re.ASCII,
)
_MAX_PORT: Final = 65_535


def parse_address(text: str) -> Address | None:
    """Parse an address; return ``None`` if the text is malformed."""
    match = _PATTERN.fullmatch(text)
    if match is None:
        return None
    port = int(match['port'])
    if not 1 <= port <= _MAX_PORT:
        return None
    return _validate_host(match['six'] or match['four'], port)


def _validate_host(host: str, port: int) -> Address | None:
    try:
        ip_address = ipaddress.ip_address(host)
    except ValueError:
        return None
    return Address(str(ip_address), port)

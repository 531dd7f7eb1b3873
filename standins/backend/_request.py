"""Request head as parsed by a backend server."""

from collections.abc import Mapping
from dataclasses import dataclass
from urllib.parse import parse_qsl, unquote, urlsplit

import h11

from carobwalk.model import FenceToken, ShardNumber


@dataclass(frozen=True, slots=True)
class BackendRequest:
    """Head of a request.

    Args:
        method: HTTP method.
        path: Path without the query, percent-decoded.
        query: First value of each query parameter by name.
        headers: Header fields by name in lower case.
    """

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]

    @property
    def request(self) -> str:
        """Request id assigned by the entry; empty if there is none."""
        return self.headers.get('carobwalk-request', '')

    @property
    def key(self) -> str:
        """Last segment of the path."""
        return self.path.rpartition('/')[-1]

    @property
    def mark(self) -> str:
        """Text unique to the request, in a header field or the query."""
        return self.headers.get('standin-mark', self.query.get('mark', ''))

    @property
    def token(self) -> FenceToken | None:
        """Fencing token of the request; ``None`` if missing or malformed."""
        text = self.headers.get('carobwalk-fence', '')
        epoch, _, sequence = text.partition('.')
        if epoch.isdecimal() and sequence.isdecimal():
            return FenceToken(int(epoch), int(sequence))
        return None

    @property
    def shard(self) -> ShardNumber | None:
        """Shard of the request; ``None`` for an unkeyed service."""
        text = self.headers.get('carobwalk-shard', '')
        return ShardNumber(int(text)) if text.isdecimal() else None

    @property
    def seconds_left(self) -> float:
        """Time until the deadline in seconds; infinite without one."""
        text = self.headers.get('carobwalk-deadline-ms', 'inf')
        return float(text) / 1000

    def number(self, name: str) -> float:
        """Return a numeric query parameter, 0 if it is missing."""
        return float(self.query.get(name, 0))


def parse_request(event: h11.Request) -> BackendRequest:
    """Parse a request head."""
    parts = urlsplit(event.target.decode('latin-1'))
    headers = {
        name.decode('latin-1'): text.decode('latin-1')
        for name, text in event.headers
    }
    return BackendRequest(
        method=event.method.decode('ascii'),
        path=unquote(parts.path),
        query=dict(parse_qsl(parts.query)),
        headers=headers,
    )

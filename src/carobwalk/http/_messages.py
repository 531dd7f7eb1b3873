"""HTTP messages that are held in memory."""

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A request with its complete body.

    Args:
        method: HTTP method.
        path: Path without the query, percent-decoded.
        query: Query parameters by name; of a repeated one, the last value.
        headers: Header fields by name in lower case.
        body: Complete body.
    """

    method: str
    path: str
    query: Mapping[str, str] = field(default_factory=dict)
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b''


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A response with its complete body.

    Args:
        status: HTTP status code.
        headers: Header fields by name in lower case, without
            ``content-length``, which the server adds.
        body: Complete body.
    """

    status: int
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b''

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
        answer_field: Header field, in lower case, that only responses to such
            requests have; empty if they have none. A response without it on a
            used connection counts as none, as servers may repeat an earlier
            one, and the connection is not used again.
    """

    method: str
    path: str
    query: Mapping[str, str] = field(default_factory=dict)
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b''
    answer_field: str = ''


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

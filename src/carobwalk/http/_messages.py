"""Whole HTTP messages with small bodies."""

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A request whose body is in memory.

    Args:
        method: HTTP method.
        path: Path without the query, percent-decoded.
        query: First value of each query parameter by name.
        headers: Header fields by name in lower case.
        body: The whole body.
    """

    method: str
    path: str
    query: Mapping[str, str] = field(default_factory=dict)
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b''


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A response whose body is in memory."""

    status: int
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b''

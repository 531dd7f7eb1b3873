"""HTTP messages that are held in memory."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field


def always_send() -> bool:
    """Return that a request may be sent at any time."""
    return True


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
        is_reused_after_failure: Whether the connection may carry another
            request after a response that is not a success. Servers may repeat
            such a response, so that it is taken for that of the next request.
        stall_seconds: Longest pause in a response that has begun to arrive,
            also after the timeout of the request; 0 if the whole response has
            to arrive before.
        may_send: Returns whether the request may still be sent; called when
            the connection is open, which may be long after a suspension of
            the host.
    """

    method: str
    path: str
    query: Mapping[str, str] = field(default_factory=dict)
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b''
    answer_field: str = ''
    is_reused_after_failure: bool = True
    stall_seconds: float = 0
    may_send: Callable[[], bool] = field(default=always_send, compare=False)


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A response with its complete body.

    Args:
        status: HTTP status code.
        headers: Header fields by name in lower case, without
            ``content-length``, which the server adds.
        body: Complete body.
        is_first: Whether it was the first response on its connection, which
            can belong to no other request.
    """

    status: int
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b''
    is_first: bool = field(default=False, compare=False)

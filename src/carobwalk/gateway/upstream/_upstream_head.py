"""Head of a request as sent to a backend server."""

from typing import Final

import h11
import trio

from carobwalk.directory import BackendServer
from carobwalk.gateway._caller_request import CallerRequest
from carobwalk.gateway._header_names import HeaderNames

_MILLISECONDS: Final = 1000
_BODILESS_METHODS: Final = frozenset((b'GET', b'HEAD'))


def upstream_head(
    request: CallerRequest,
    server: BackendServer,
    names: HeaderNames,
) -> h11.Request:
    """Return the head with the time to the deadline and the server's id.

    Args:
        request: The request.
        server: Backend server that the head is for.
        names: Names of the header fields to set.
    """
    seconds_left = request.deadline - trio.current_time()
    headers = [
        *request.headers,
        (names.time_left, str(int(seconds_left * _MILLISECONDS)).encode()),
        (names.expected_server, server.id.encode()),
    ]
    if request.body or request.method not in _BODILESS_METHODS:
        length = str(len(request.body)).encode()
        headers.append((b'content-length', length))
    return h11.Request(
        method=request.method,
        target=request.target,
        headers=headers,
    )

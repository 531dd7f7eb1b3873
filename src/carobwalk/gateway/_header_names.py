"""Names of the header fields that the gateway reads and sets."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class HeaderNames:
    """Header fields in lower case, as callers and backend servers know them.

    Args:
        request_id: Identity of one attempt of a caller.
        time_left: Milliseconds that the caller still waits.
        signature: Mark of an answer that a backend server made.
        expected_server: Id of the only backend server that may run it.
        not_run: Present where a backend server did not run the request.
        server: Id of the backend server that answers.
        key: Number of the key of the request.
    """

    request_id: bytes
    time_left: bytes
    signature: bytes
    expected_server: bytes
    not_run: bytes
    server: bytes
    key: bytes

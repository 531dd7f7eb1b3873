"""Names of the header fields that the gateway reads and sets."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class HeaderNames:
    """Names of header fields in lower case, as used on the wire.

    Args:
        request_id: Id of one attempt of a caller.
        time_left: Milliseconds until the caller's deadline.
        signature: Present in every answer that a backend server itself made.
        expected_server: Id of the only backend server that may run the
            request.
        not_run: Present if the backend server did not run the request.
        server: Id of the backend server that answers.
        key: Number of the key of the request.
        limit: Requests per second that the backend server accepts from all
            processes together.
        leaving: Present, with the value 1, while the backend server is
            shutting down.
    """

    request_id: bytes
    time_left: bytes
    signature: bytes
    expected_server: bytes
    not_run: bytes
    server: bytes
    key: bytes
    limit: bytes
    leaving: bytes

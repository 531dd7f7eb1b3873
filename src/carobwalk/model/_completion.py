"""Result of a request that received a complete response."""

from dataclasses import dataclass

from carobwalk.model._names import ServerId


@dataclass(frozen=True, slots=True)
class Completion:
    """A request whose complete response was sent to the caller.

    Args:
        status: HTTP status of the response.
        server: Backend server that responded.
        sent_bytes: Body bytes sent to the backend server.
        received_bytes: Body bytes of the response.
    """

    status: int
    server: ServerId
    sent_bytes: int
    received_bytes: int

"""Result of a request that was answered completely."""

from dataclasses import dataclass

from carobwalk.model._names import ServerId


@dataclass(frozen=True, slots=True)
class Completion:
    """A request whose complete answer was sent to the caller.

    Args:
        status: HTTP status of the answer.
        server: Backend server that answered.
        sent_bytes: Body bytes sent to the backend server.
        received_bytes: Body bytes of the answer.
    """

    status: int
    server: ServerId
    sent_bytes: int
    received_bytes: int

"""Answers that callers received."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class AnswerRecord:
    """An answer that a caller received.

    Args:
        request: Id of the request.
        status: HTTP status.
        router: Name of the router that was called.
        incarnation: Incarnation of the router.
        sent_at: Wall time in seconds before the request was sent.
        received_at: Wall time in seconds after the answer was read.
        is_from_server: Whether a backend server signed it; if not, the router
            answered on its own.
    """

    request: str
    status: int
    router: str
    incarnation: int
    sent_at: float
    received_at: float
    is_from_server: bool

    def __str__(self) -> str:
        """Return a description for reports."""
        return (
            f'{self.request} {self.status} by '
            f'{self.router}/{self.incarnation} '
            f'between {self.sent_at:.3f} and {self.received_at:.3f}'
        )

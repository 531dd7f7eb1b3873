"""A backend server's statement that a request did not run."""

from enum import Enum
from http import HTTPStatus


class Refusal(Enum):
    """Reasons, each with the status of its response."""

    FENCED = ('fenced', HTTPStatus.CONFLICT)
    SHED = ('shed', HTTPStatus.SERVICE_UNAVAILABLE)
    DRAINING = ('draining', HTTPStatus.SERVICE_UNAVAILABLE)
    DEADLINE = ('deadline', HTTPStatus.SERVICE_UNAVAILABLE)

    def __init__(self, reason: str, status: HTTPStatus) -> None:
        self.reason = reason
        self.status = status

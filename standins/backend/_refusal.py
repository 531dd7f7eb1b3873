"""Refusals of a backend server."""

from enum import Enum
from http import HTTPStatus


class Refusal(Enum):
    """Reason why a request did not run, with its response status."""

    FENCED = ('fenced', HTTPStatus.CONFLICT)
    SHED = ('shed', HTTPStatus.SERVICE_UNAVAILABLE)
    DRAINING = ('draining', HTTPStatus.SERVICE_UNAVAILABLE)
    DEADLINE = ('deadline', HTTPStatus.SERVICE_UNAVAILABLE)

    def __init__(self, reason: str, status: HTTPStatus) -> None:
        self.reason = reason
        self.status = status

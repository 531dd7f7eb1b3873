"""Event for an exception in a request handler."""

from dataclasses import dataclass
from typing import ClassVar

from carobwalk.events import Event


@dataclass(frozen=True, slots=True)
class HandlerCrashed(Event):
    """A request handler raised an exception.

    Args:
        method: HTTP method.
        path: Path of the request.
        error: Type of the exception.
        detail: Text of the exception.
    """

    level: ClassVar[str] = 'error'

    method: str
    path: str
    error: str
    detail: str

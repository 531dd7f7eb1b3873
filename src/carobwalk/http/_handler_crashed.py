"""Event of a fault in a handler."""

from dataclasses import dataclass
from typing import ClassVar

from carobwalk.events import Event


@dataclass(frozen=True, slots=True)
class HandlerCrashed(Event):
    """A fault of the program ended the handling of a small request.

    Args:
        method: HTTP method.
        path: Path of the request.
        error: Type of the exception.
        detail: Its text.
    """

    level: ClassVar[str] = 'error'

    method: str
    path: str
    error: str
    detail: str

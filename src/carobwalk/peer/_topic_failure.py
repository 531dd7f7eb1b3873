"""Questions that got no answer."""

from dataclasses import dataclass
from typing import ClassVar

from carobwalk.events import Event


@dataclass(frozen=True, slots=True)
class TopicFailure:
    """A question has no handler here, or its handler failed.

    Args:
        detail: Cause in plain English.
    """

    detail: str


@dataclass(frozen=True, slots=True)
class TopicCrashed(Event):
    """A fault of the program ended the handling of a question.

    Args:
        topic: Kind of the question.
        sender: Process that asked.
        error: Type of the exception.
        detail: Its text.
    """

    level: ClassVar[str] = 'error'

    topic: str
    sender: str
    error: str
    detail: str

"""Control messages that could not be handled."""

from dataclasses import dataclass
from typing import ClassVar

from carobwalk.events import Event


@dataclass(frozen=True, slots=True)
class TopicFailure:
    """A control message has no handler here, or its handler failed.

    Args:
        detail: Cause in plain English.
    """

    detail: str


@dataclass(frozen=True, slots=True)
class TopicCrashed(Event):
    """The handler of a control message raised an unexpected exception.

    Args:
        topic: Kind of the message.
        sender: Id of the process that sent the message.
        error: Type of the exception.
        detail: Text of the exception.
    """

    level: ClassVar[str] = 'error'

    topic: str
    sender: str
    error: str
    detail: str

"""Answer to a control message."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Answer:
    """Answer to a control message.

    Args:
        payload: Answer in the topic's own schema.
    """

    payload: bytes

"""The answer to a question."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Answer:
    """The answer to a question."""

    payload: bytes

"""A short question."""

from dataclasses import dataclass

from carobwalk.peer._topic import Topic


@dataclass(frozen=True, slots=True)
class Ask:
    """A short question."""

    topic: Topic
    payload: bytes

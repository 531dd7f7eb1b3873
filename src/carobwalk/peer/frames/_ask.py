"""Control message that expects an answer."""

from dataclasses import dataclass

from carobwalk.peer._topic import Topic


@dataclass(frozen=True, slots=True)
class Ask:
    """Control message that expects an answer.

    Args:
        topic: Kind of the message.
        payload: Message in the topic's own schema.
    """

    topic: Topic
    payload: bytes

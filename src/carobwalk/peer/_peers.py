"""Contract of control messages between processes."""

from dataclasses import dataclass
from typing import Protocol

from result import Result

from carobwalk.model import Endpoint, ProcessId
from carobwalk.peer._topic import Topic


@dataclass(frozen=True, slots=True)
class PeerFailure:
    """A control message that received no answer.

    Args:
        delivered: ``False`` only if the message certainly did not arrive.
        detail: Cause in plain English.
    """

    delivered: bool
    detail: str


class TopicHandler(Protocol):
    """Answers the messages of one topic."""

    async def __call__(self, sender: ProcessId, payload: bytes) -> bytes:
        """Return the answer to a payload in the topic's own schema."""


class Topics(Protocol):
    """Registry of topic handlers."""

    def register(self, topic: Topic, handler: TopicHandler) -> None:
        """Register the only handler of a topic; a second one is an error."""


class Peers(Protocol):
    """Sends control messages to processes, to this one by a direct call."""

    async def ask(
        self,
        peer: Endpoint,
        topic: Topic,
        payload: bytes,
        timeout: float,
    ) -> Result[bytes, PeerFailure]:
        """Send a payload and wait for the answer.

        Args:
            peer: Endpoint of the process that answers, named by its process id.
            topic: Kind of the message.
            payload: Message encoded by pycapnp in the topic's schema.
            timeout: Timeout in seconds, including the time to connect.
        """

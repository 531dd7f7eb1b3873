"""Registry of the handlers of questions."""

from result import Err, Ok, Result

from carobwalk.events import EventLog, NullEventLog
from carobwalk.model import CarobwalkError, ProcessId
from carobwalk.peer._peers import TopicHandler
from carobwalk.peer._topic import Topic
from carobwalk.peer._topic_failure import TopicCrashed, TopicFailure


class DuplicateTopicError(CarobwalkError):
    """A topic has two handlers."""


class TopicRegistry:
    """Handlers by topic.

    Args:
        events: Log of events.
    """

    def __init__(self, events: EventLog | None = None) -> None:
        self._events = events or NullEventLog()
        self._handlers_by_topic: dict[Topic, TopicHandler] = {}

    def register(self, topic: Topic, handler: TopicHandler) -> None:
        """Add the handler of a topic.

        Raises:
            DuplicateTopicError: If the topic has a handler.
        """
        if topic in self._handlers_by_topic:
            raise DuplicateTopicError(topic)
        self._handlers_by_topic[topic] = handler

    async def answer(
        self,
        topic: Topic,
        sender: ProcessId,
        payload: bytes,
    ) -> Result[bytes, TopicFailure]:
        """Return the answer of a topic's handler.

        A handler's exception ends the one question, and is logged.
        """
        handler = self._handlers_by_topic.get(topic)
        if handler is None:
            return Err(TopicFailure(f'no topic {topic}'))
        try:
            return Ok(await handler(sender, payload))
        except Exception as error:
            kind = type(error).__name__
            crashed = TopicCrashed(topic, sender, kind, str(error))
            self._events.emit(crashed)
            return Err(TopicFailure(f'the handler failed: {kind}'))

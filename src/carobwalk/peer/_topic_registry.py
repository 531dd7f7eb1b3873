"""Registry of the handlers of control messages."""

from result import Err, Ok, Result

from carobwalk.events import EventLog, NullEventLog
from carobwalk.model import CarobwalkError, ProcessId
from carobwalk.peer._peers import TopicHandler
from carobwalk.peer._topic import Topic
from carobwalk.peer._topic_failure import TopicCrashed, TopicFailure


class DuplicateTopicError(CarobwalkError):
    """A second handler was registered for a topic."""


class TopicRegistry:
    """Dispatches control messages to the handlers of their topics.

    Args:
        events: Receives an event for each handler that raises.
    """

    def __init__(self, events: EventLog | None = None) -> None:
        self._events = events or NullEventLog()
        self._handlers_by_topic: dict[Topic, TopicHandler] = {}

    def register(self, topic: Topic, handler: TopicHandler) -> None:
        """Register the handler of a topic.

        Raises:
            DuplicateTopicError: If the topic already has a handler.
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

        An exception in the handler is logged and fails only this message.
        """
        handler = self._handlers_by_topic.get(topic)
        if handler is None:
            return Err(TopicFailure(f'no topic {topic}'))
        try:
            return Ok(await handler(sender, payload))
        except Exception as error:
            error_type = type(error).__name__
            crash_event = TopicCrashed(topic, sender, error_type, str(error))
            self._events.emit(crash_event)
            return Err(TopicFailure(f'the handler failed: {error_type}'))

"""Registry of the handlers of questions."""

from carobwalk.model import CarobwalkError
from carobwalk.peer._peers import TopicHandler
from carobwalk.peer._topic import Topic


class DuplicateTopicError(CarobwalkError):
    """A topic has two handlers."""


class TopicRegistry:
    """Handlers by topic."""

    def __init__(self) -> None:
        self._handlers_by_topic: dict[Topic, TopicHandler] = {}

    def register(self, topic: Topic, handler: TopicHandler) -> None:
        """Add the handler of a topic.

        Raises:
            DuplicateTopicError: If the topic has a handler.
        """
        if topic in self._handlers_by_topic:
            raise DuplicateTopicError(topic)
        self._handlers_by_topic[topic] = handler

    def find(self, topic: Topic) -> TopicHandler | None:
        """Return the handler of a topic, ``None`` where there is none."""
        return self._handlers_by_topic.get(topic)

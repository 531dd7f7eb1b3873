"""Tests of the registry of topics."""

import pytest
import trio
from result import Err

from carobwalk.events import Event
from carobwalk.model import ProcessId
from carobwalk.peer import DuplicateTopicError, Topic, TopicRegistry
from carobwalk.peer._topic_failure import TopicCrashed

_TOPIC = Topic('t')


class _Log:
    """Keeps events."""

    def __init__(self) -> None:
        self.events: list[Event] = []

    def emit(self, event: Event) -> None:
        self.events.append(event)


async def _fail(sender: ProcessId, payload: bytes) -> bytes:
    raise ValueError(payload)


class TestTopicRegistry:
    def test_crash(self) -> None:
        """A handler's exception is logged and ends one question only."""
        log = _Log()
        topics = TopicRegistry(log)
        topics.register(_TOPIC, _fail)
        answered = trio.run(topics.answer, _TOPIC, ProcessId('e'), b'!')
        assert isinstance(answered, Err)
        assert log.events == [TopicCrashed('t', 'e', 'ValueError', "b'!'")]

    def test_duplicate(self) -> None:
        """A topic has one handler."""
        topics = TopicRegistry()
        topics.register(_TOPIC, _fail)
        with pytest.raises(DuplicateTopicError):
            topics.register(_TOPIC, _fail)

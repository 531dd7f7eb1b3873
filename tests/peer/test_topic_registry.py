"""Tests of the registry of topic handlers."""

import pytest
import trio
from result import Err

from carobwalk.model import ProcessId
from carobwalk.peer import DuplicateTopicError, Topic, TopicRegistry
from carobwalk.peer._topic_failure import TopicCrashed
from tests.recording_log import RecordingLog

_TOPIC = Topic('t')


async def _raise_error(sender: ProcessId, payload: bytes) -> bytes:
    raise ValueError(payload)


class TestTopicRegistry:
    def test_handler_raises(self) -> None:
        """An exception in a handler is logged and fails only its message."""
        log = RecordingLog()
        topics = TopicRegistry(log)
        topics.register(_TOPIC, _raise_error)
        result = trio.run(topics.answer, _TOPIC, ProcessId('e'), b'!')
        assert isinstance(result, Err)
        assert log.events == [TopicCrashed('t', 'e', 'ValueError', "b'!'")]

    def test_duplicate_handler(self) -> None:
        """Registering a second handler for a topic raises."""
        topics = TopicRegistry()
        topics.register(_TOPIC, _raise_error)
        with pytest.raises(DuplicateTopicError):
            topics.register(_TOPIC, _raise_error)

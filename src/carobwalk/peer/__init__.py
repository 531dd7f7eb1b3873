"""Connections between the system's own processes."""

from carobwalk.peer._exceptions import FrameError, PeerLostError
from carobwalk.peer._hub import PeerHub
from carobwalk.peer._peers import PeerFailure, Peers, TopicHandler, Topics
from carobwalk.peer._stamp_source import StampSource
from carobwalk.peer._topic import Topic
from carobwalk.peer._topic_registry import DuplicateTopicError, TopicRegistry
from carobwalk.peer._traffic import Traffic

__all__ = (
    'DuplicateTopicError',
    'FrameError',
    'PeerFailure',
    'PeerHub',
    'PeerLostError',
    'Peers',
    'StampSource',
    'Topic',
    'TopicHandler',
    'TopicRegistry',
    'Topics',
    'Traffic',
)

"""Connections between the processes of the router."""

from carobwalk.peer._endpoint_codec import (
    EndpointError,
    EndpointRow,
    decode_endpoint,
    encode_endpoint,
    endpoint_of_row,
    endpoint_row,
)
from carobwalk.peer._exceptions import FrameError, PeerLostError
from carobwalk.peer._hub import PeerHub
from carobwalk.peer._logical_clock import LogicalClock
from carobwalk.peer._peers import PeerFailure, Peers, TopicHandler, Topics
from carobwalk.peer._topic import Topic
from carobwalk.peer._topic_registry import DuplicateTopicError, TopicRegistry
from carobwalk.peer._traffic_counter import TrafficCounter

__all__ = (
    'DuplicateTopicError',
    'EndpointError',
    'EndpointRow',
    'FrameError',
    'LogicalClock',
    'PeerFailure',
    'PeerHub',
    'PeerLostError',
    'Peers',
    'Topic',
    'TopicHandler',
    'TopicRegistry',
    'Topics',
    'TrafficCounter',
    'decode_endpoint',
    'encode_endpoint',
    'endpoint_of_row',
    'endpoint_row',
)

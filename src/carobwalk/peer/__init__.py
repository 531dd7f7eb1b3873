"""Connections between the system's own processes."""

from carobwalk.peer._peers import PeerFailure, Peers, TopicHandler, Topics
from carobwalk.peer._topic import Topic

__all__ = ('PeerFailure', 'Peers', 'Topic', 'TopicHandler', 'Topics')

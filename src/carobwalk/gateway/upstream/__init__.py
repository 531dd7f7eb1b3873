"""Sending of requests to backend servers, and retries."""

from carobwalk.gateway.upstream._connection_pool import ConnectionPool
from carobwalk.gateway.upstream._forwarder import Forwarder, ForwarderParts
from carobwalk.gateway.upstream._outcomes import Answered, Lost, NotRun, NotSent

__all__ = (
    'Answered',
    'ConnectionPool',
    'Forwarder',
    'ForwarderParts',
    'Lost',
    'NotRun',
    'NotSent',
)

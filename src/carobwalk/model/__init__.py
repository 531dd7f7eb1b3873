"""Domain types shared by all packages: names, ranks, outcomes, requests."""

from carobwalk.model._body_error import BodyError, CallerGoneError
from carobwalk.model._call import BodySource, Call, ReplySink
from carobwalk.model._call_progress import CallProgress
from carobwalk.model._clock import Clock, SuspendAwareClock, TrioClock
from carobwalk.model._completion import Completion
from carobwalk.model._decode_errors import DECODE_ERRORS
from carobwalk.model._endpoint import Address, Endpoint
from carobwalk.model._exceptions import CarobwalkError
from carobwalk.model._failure import Failure, FailureKind
from carobwalk.model._fence_token import FenceToken
from carobwalk.model._forwarder import Forwarder
from carobwalk.model._names import (
    DataCentreName,
    Key,
    OperatorName,
    ProcessId,
    ProfileName,
    RegionName,
    RequestId,
    ServerId,
    ServiceName,
    ShardNumber,
)
from carobwalk.model._outcome import Outcome
from carobwalk.model._placement import Placement
from carobwalk.model._rank import Rank
from carobwalk.model._request_head import Headers, RequestHead

__all__ = (
    'DECODE_ERRORS',
    'Address',
    'BodyError',
    'BodySource',
    'Call',
    'CallProgress',
    'CallerGoneError',
    'CarobwalkError',
    'Clock',
    'Completion',
    'DataCentreName',
    'Endpoint',
    'Failure',
    'FailureKind',
    'FenceToken',
    'Forwarder',
    'Headers',
    'Key',
    'OperatorName',
    'Outcome',
    'Placement',
    'ProcessId',
    'ProfileName',
    'Rank',
    'RegionName',
    'ReplySink',
    'RequestHead',
    'RequestId',
    'ServerId',
    'ServiceName',
    'ShardNumber',
    'SuspendAwareClock',
    'TrioClock',
)

"""Forwarding of callers' requests to backend servers over HTTP/1.1."""

from carobwalk.gateway._caller_request import CallerRequest
from carobwalk.gateway._events import (
    AttemptFailed,
    CallerLeft,
    RequestAnswered,
)
from carobwalk.gateway._header_names import HeaderNames
from carobwalk.gateway._reply import Reply
from carobwalk.gateway.caller import (
    GatewayServer,
    GatewayService,
    NullRequestMeter,
    RequestMeter,
)
from carobwalk.gateway.choice import (
    CandidateServers,
    Crash,
    CrashTracker,
    KeyedChooser,
    KeyOwner,
    KeyOwners,
    LoadTable,
    Locality,
    NoTarget,
    RequestTotals,
    RetryBudgets,
    RetryRules,
    ServerCost,
    SlidingWindowRetryBudget,
    Target,
    UnkeyedChooser,
    Warmups,
)
from carobwalk.gateway.upstream import (
    Answered,
    ConnectionPool,
    Forwarder,
    ForwarderParts,
    Lost,
    NotRun,
    NotSent,
)

__all__ = (
    'Answered',
    'AttemptFailed',
    'CallerLeft',
    'CallerRequest',
    'CandidateServers',
    'ConnectionPool',
    'Crash',
    'CrashTracker',
    'Forwarder',
    'ForwarderParts',
    'GatewayServer',
    'GatewayService',
    'HeaderNames',
    'KeyOwner',
    'KeyOwners',
    'KeyedChooser',
    'LoadTable',
    'Locality',
    'Lost',
    'NoTarget',
    'NotRun',
    'NotSent',
    'NullRequestMeter',
    'Reply',
    'RequestAnswered',
    'RequestMeter',
    'RequestTotals',
    'RetryBudgets',
    'RetryRules',
    'ServerCost',
    'SlidingWindowRetryBudget',
    'Target',
    'UnkeyedChooser',
    'Warmups',
)

"""Forwarding of callers' requests to backend servers over HTTP/1.1."""

from carobwalk.gateway._caller_request import CallerRequest
from carobwalk.gateway._events import (
    AttemptFailed,
    CallerLeft,
    RequestAnswered,
)
from carobwalk.gateway._header_names import HeaderNames
from carobwalk.gateway._reply import Reply
from carobwalk.gateway.caller._gateway_server import GatewayServer
from carobwalk.gateway.caller._gateway_service import GatewayService
from carobwalk.gateway.caller._request_meter import (
    NullRequestMeter,
    RequestMeter,
)
from carobwalk.gateway.choice._candidate_servers import CandidateServers
from carobwalk.gateway.choice._crash_tracker import Crash, CrashTracker
from carobwalk.gateway.choice._key_owners import KeyOwner, KeyOwners
from carobwalk.gateway.choice._keyed_chooser import KeyedChooser
from carobwalk.gateway.choice._load_table import LoadTable
from carobwalk.gateway.choice._locality import Locality
from carobwalk.gateway.choice._request_totals import RequestTotals
from carobwalk.gateway.choice._retry_budgets import RetryBudgets
from carobwalk.gateway.choice._server_cost import ServerCost
from carobwalk.gateway.choice._sliding_window_retry_budget import (
    RetryRules,
    SlidingWindowRetryBudget,
)
from carobwalk.gateway.choice._target import NoTarget, Target
from carobwalk.gateway.choice._unkeyed_chooser import UnkeyedChooser
from carobwalk.gateway.upstream._connection_pool import ConnectionPool
from carobwalk.gateway.upstream._forwarder import Forwarder, ForwarderParts
from carobwalk.gateway.upstream._outcomes import Answered, Lost, NotRun, NotSent

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
)

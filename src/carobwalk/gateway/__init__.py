"""Forwarding of callers' requests to backend servers over HTTP/1.1."""

from carobwalk.gateway._caller_request import CallerRequest
from carobwalk.gateway._connection_pool import ConnectionPool
from carobwalk.gateway._crash_tracker import Crash, CrashTracker
from carobwalk.gateway._events import (
    AttemptFailed,
    CallerLeft,
    RequestAnswered,
)
from carobwalk.gateway._forwarder import Forwarder, ForwarderParts
from carobwalk.gateway._gateway_server import GatewayServer
from carobwalk.gateway._gateway_service import GatewayService
from carobwalk.gateway._header_names import HeaderNames
from carobwalk.gateway._key_owners import KeyOwner, KeyOwners
from carobwalk.gateway._keyed_chooser import KeyedChooser
from carobwalk.gateway._load_table import LoadTable
from carobwalk.gateway._locality import Locality
from carobwalk.gateway._outcomes import Answered, Lost, NotRun, NotSent
from carobwalk.gateway._reply import Reply
from carobwalk.gateway._request_meter import NullRequestMeter, RequestMeter
from carobwalk.gateway._request_totals import RequestTotals
from carobwalk.gateway._retry_budgets import RetryBudgets
from carobwalk.gateway._sliding_window_retry_budget import (
    RetryRules,
    SlidingWindowRetryBudget,
)
from carobwalk.gateway._target import NoTarget, Target
from carobwalk.gateway._unkeyed_chooser import UnkeyedChooser

__all__ = (
    'Answered',
    'AttemptFailed',
    'CallerLeft',
    'CallerRequest',
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
    'SlidingWindowRetryBudget',
    'Target',
    'UnkeyedChooser',
)

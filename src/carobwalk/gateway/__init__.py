"""The way of a request from a caller straight to a backend server."""

from carobwalk.gateway._attempt_log import (
    AttemptFailed,
    CallerLeft,
    RequestAnswered,
)
from carobwalk.gateway._caller_request import CallerRequest
from carobwalk.gateway._connection_pool import ConnectionPool
from carobwalk.gateway._counted_work import CountedWork
from carobwalk.gateway._crash_suspects import Crash, CrashSuspects
from carobwalk.gateway._forwarder import Forwarder, ForwarderParts, Progress
from carobwalk.gateway._gateway_server import GatewayServer
from carobwalk.gateway._gateway_service import GatewayService
from carobwalk.gateway._header_names import HeaderNames
from carobwalk.gateway._key_owners import KeyOwner, KeyOwners
from carobwalk.gateway._keyed_chooser import KeyedChooser
from carobwalk.gateway._load_table import LoadTable
from carobwalk.gateway._outcomes import Answered, Lost, NotRun, NotSent
from carobwalk.gateway._place import Place
from carobwalk.gateway._repeat_budget import RepeatBudget, RepeatRules
from carobwalk.gateway._repeat_budgets import RepeatBudgets
from carobwalk.gateway._reply import Reply
from carobwalk.gateway._request_meter import NullRequestMeter, RequestMeter
from carobwalk.gateway._target import NoTarget, Target
from carobwalk.gateway._unkeyed_chooser import UnkeyedChooser

__all__ = (
    'Answered',
    'AttemptFailed',
    'CallerLeft',
    'CallerRequest',
    'ConnectionPool',
    'CountedWork',
    'Crash',
    'CrashSuspects',
    'Forwarder',
    'ForwarderParts',
    'GatewayServer',
    'GatewayService',
    'HeaderNames',
    'KeyOwner',
    'KeyOwners',
    'KeyedChooser',
    'LoadTable',
    'Lost',
    'NoTarget',
    'NotRun',
    'NotSent',
    'NullRequestMeter',
    'Place',
    'Progress',
    'RepeatBudget',
    'RepeatBudgets',
    'RepeatRules',
    'Reply',
    'RequestAnswered',
    'RequestMeter',
    'Target',
    'UnkeyedChooser',
)

"""Queueing and forwarding of requests to backend servers.

Requests are scheduled by rank. A non-idempotent one is sent at most once.
"""

from carobwalk.dispatch._context import Broadcast, DispatchContext
from carobwalk.dispatch._dispatch_pool import DispatchPool
from carobwalk.dispatch._dispatcher import Dispatcher
from carobwalk.dispatch._dispatcher_table import MakeUpstream
from carobwalk.dispatch._errors import (
    ConnectionLimitError,
    DoubleSendError,
    DuplicatePolicyError,
    FalseNotRunError,
    SlotLimitError,
    UnknownPolicyError,
)
from carobwalk.dispatch._h11_upstream import H11Upstream
from carobwalk.dispatch._lease_history import SendTokens
from carobwalk.dispatch._limit_policy import (
    LimitPolicy,
    SendEnd,
    limit_policies,
)
from carobwalk.dispatch._policies import (
    AdaptiveDelayLimit,
    AimdLimit,
    DeficitRoundRobin,
    Fifo,
    GuaranteedShares,
    SlotsLimit,
    Strict,
)
from carobwalk.dispatch._quarantine import Quarantine
from carobwalk.dispatch._queue_policy import QueuePolicy, queue_policies
from carobwalk.dispatch._send_gate import SendGate
from carobwalk.dispatch._server_chooser import ServerChooser
from carobwalk.dispatch._suspect import Incident, Suspect, SuspectId
from carobwalk.dispatch._upstream import Upstream, UpstreamRequest
from carobwalk.dispatch._upstream_failures import (
    CallerLost,
    NotAuthorised,
    NotConnected,
    NotSent,
    RefusalReason,
    Refused,
    Truncated,
    Unanswered,
    UpstreamFailure,
)

__all__ = (
    'AdaptiveDelayLimit',
    'AimdLimit',
    'Broadcast',
    'CallerLost',
    'ConnectionLimitError',
    'DeficitRoundRobin',
    'DispatchContext',
    'DispatchPool',
    'Dispatcher',
    'DoubleSendError',
    'DuplicatePolicyError',
    'FalseNotRunError',
    'Fifo',
    'GuaranteedShares',
    'H11Upstream',
    'Incident',
    'LimitPolicy',
    'MakeUpstream',
    'NotAuthorised',
    'NotConnected',
    'NotSent',
    'Quarantine',
    'QueuePolicy',
    'RefusalReason',
    'Refused',
    'SendEnd',
    'SendGate',
    'SendTokens',
    'ServerChooser',
    'SlotLimitError',
    'SlotsLimit',
    'Strict',
    'Suspect',
    'SuspectId',
    'Truncated',
    'Unanswered',
    'UnknownPolicyError',
    'Upstream',
    'UpstreamFailure',
    'UpstreamRequest',
    'limit_policies',
    'queue_policies',
)

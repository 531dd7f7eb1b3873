"""Choice of the backend server for a request, and the limits it respects."""

from carobwalk.gateway.choice._candidate_servers import CandidateServers
from carobwalk.gateway.choice._crash_tracker import Crash, CrashTracker
from carobwalk.gateway.choice._key_owners import KeyOwner, KeyOwners
from carobwalk.gateway.choice._keyed_chooser import KeyedChooser
from carobwalk.gateway.choice._load_digest import ServerEstimate, encode_digest
from carobwalk.gateway.choice._load_table import LoadTable
from carobwalk.gateway.choice._locality import Locality
from carobwalk.gateway.choice._region_rules import RegionRules
from carobwalk.gateway.choice._request_totals import RequestTotals
from carobwalk.gateway.choice._retry_budgets import RetryBudgets
from carobwalk.gateway.choice._sampled_choice import SampledChoice
from carobwalk.gateway.choice._server_cost import ServerCost
from carobwalk.gateway.choice._shared_load import SharedLoad
from carobwalk.gateway.choice._sliding_window_retry_budget import (
    RetryRules,
    SlidingWindowRetryBudget,
)
from carobwalk.gateway.choice._target import NoTarget, Target
from carobwalk.gateway.choice._unkeyed_chooser import UnkeyedChooser
from carobwalk.gateway.choice._warmups import Warmups

__all__ = (
    'CandidateServers',
    'Crash',
    'CrashTracker',
    'KeyOwner',
    'KeyOwners',
    'KeyedChooser',
    'LoadTable',
    'Locality',
    'NoTarget',
    'RegionRules',
    'RequestTotals',
    'RetryBudgets',
    'RetryRules',
    'SampledChoice',
    'ServerCost',
    'ServerEstimate',
    'SharedLoad',
    'SlidingWindowRetryBudget',
    'Target',
    'UnkeyedChooser',
    'Warmups',
    'encode_digest',
)

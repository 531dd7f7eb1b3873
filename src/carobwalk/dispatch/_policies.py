"""All policies; importing this module registers them."""

from carobwalk.dispatch._adaptive_delay_limit import AdaptiveDelayLimit
from carobwalk.dispatch._aimd_limit import AimdLimit
from carobwalk.dispatch._deficit_round_robin import DeficitRoundRobin
from carobwalk.dispatch._fifo import Fifo
from carobwalk.dispatch._guaranteed_shares import GuaranteedShares
from carobwalk.dispatch._slots_limit import SlotsLimit
from carobwalk.dispatch._strict import Strict

__all__ = (
    'AdaptiveDelayLimit',
    'AimdLimit',
    'DeficitRoundRobin',
    'Fifo',
    'GuaranteedShares',
    'SlotsLimit',
    'Strict',
)

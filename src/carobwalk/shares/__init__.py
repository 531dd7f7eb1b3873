"""Shares of single processes in limits that bind all processes together."""

from carobwalk.shares._process_share import SHARE_SECONDS, ProcessShare
from carobwalk.shares._sharer_count import SharerCount
from carobwalk.shares._warmup_bounds import WarmupBounds

__all__ = (
    'SHARE_SECONDS',
    'ProcessShare',
    'SharerCount',
    'WarmupBounds',
)

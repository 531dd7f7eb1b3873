"""Assignment of keys to backend servers and of servers to dispatchers."""

from carobwalk.ownership._context import OwnershipContext
from carobwalk.ownership._exceptions import (
    MapRevisionFellError,
    OwnershipInvariantError,
    TokenFellError,
    TwoDispatchersError,
)
from carobwalk.ownership._grant_channel import GrantChannel, GrantFailure
from carobwalk.ownership._grant_table import GrantTable
from carobwalk.ownership._http_grant_channel import (
    CONTROL_PATHS,
    HttpGrantChannel,
)
from carobwalk.ownership._leases import Leases, NoLease
from carobwalk.ownership._placements import NoPlacement, Placements
from carobwalk.ownership._role import OwnershipRole
from carobwalk.ownership._safety_rules import SafetyRules
from carobwalk.ownership._server_messages import (
    FenceOrder,
    GrantOrder,
    GrantReport,
    HeldShard,
    Refusal,
    ReleaseOrder,
    ServerOrder,
    ShardGrant,
    ShardId,
)
from carobwalk.ownership._shard_row import ServerRow, ShardRow
from carobwalk.ownership._shards import shard_of
from carobwalk.ownership._snapshot import GroupSnapshot, OwnershipSnapshot
from carobwalk.ownership._times import OwnershipTimes

__all__ = (
    'CONTROL_PATHS',
    'FenceOrder',
    'GrantChannel',
    'GrantFailure',
    'GrantOrder',
    'GrantReport',
    'GrantTable',
    'GroupSnapshot',
    'HeldShard',
    'HttpGrantChannel',
    'Leases',
    'MapRevisionFellError',
    'NoLease',
    'NoPlacement',
    'OwnershipContext',
    'OwnershipInvariantError',
    'OwnershipRole',
    'OwnershipSnapshot',
    'OwnershipTimes',
    'Placements',
    'Refusal',
    'ReleaseOrder',
    'SafetyRules',
    'ServerOrder',
    'ServerRow',
    'ShardGrant',
    'ShardId',
    'ShardRow',
    'TokenFellError',
    'TwoDispatchersError',
    'shard_of',
)

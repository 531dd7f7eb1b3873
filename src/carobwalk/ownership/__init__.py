"""Which backend server owns which key, and who dispatches to it."""

from carobwalk.ownership._grant_channel import GrantChannel, GrantFailure
from carobwalk.ownership._grant_table import GrantTable
from carobwalk.ownership._http_grant_channel import (
    CONTROL_PATHS,
    HttpGrantChannel,
)
from carobwalk.ownership._leases import Leases, NoLease
from carobwalk.ownership._placements import NoPlacement, Placements
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
from carobwalk.ownership._shards import shard_of

__all__ = (
    'CONTROL_PATHS',
    'FenceOrder',
    'GrantChannel',
    'GrantFailure',
    'GrantOrder',
    'GrantReport',
    'GrantTable',
    'HeldShard',
    'HttpGrantChannel',
    'Leases',
    'NoLease',
    'NoPlacement',
    'Placements',
    'Refusal',
    'ReleaseOrder',
    'ServerOrder',
    'ShardGrant',
    'ShardId',
    'shard_of',
)

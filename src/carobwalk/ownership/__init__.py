"""Which backend server owns which key, and who dispatches to it."""

from carobwalk.ownership._leases import Leases, NoLease
from carobwalk.ownership._placements import NoPlacement, Placements
from carobwalk.ownership._shards import shard_of

__all__ = ('Leases', 'NoLease', 'NoPlacement', 'Placements', 'shard_of')

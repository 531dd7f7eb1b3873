"""Interfaces of the key-value service and host list, with adapters."""

from carobwalk.store._direct_access import AccessReason, DirectAccess
from carobwalk.store._era import (
    MAX_ERA,
    era_of_lease,
    era_of_revision,
    join_lease,
    join_revision,
    split_lease,
    split_revision,
)
from carobwalk.store._followed_records import (
    FollowedRecords,
    RecordReader,
    StoreContactLost,
    StoreContactRegained,
)
from carobwalk.store._host_list import Host, HostList, HostListError
from carobwalk.store._http_host_list import HOSTS_PATH, HttpHostList
from carobwalk.store._http_store import HttpStore
from carobwalk.store._record_follower import ReadOptions, RecordFollower
from carobwalk.store._store import (
    ClientId,
    Conflict,
    LeaseId,
    LeaseLost,
    Store,
    StoreFailure,
    Unanswered,
    Unavailable,
    Versioned,
)
from carobwalk.store._transactional import (
    Changes,
    Compacted,
    Listing,
    Removed,
    TransactionalStore,
)
from carobwalk.store._watch_period import WatchPeriod

__all__ = (
    'HOSTS_PATH',
    'MAX_ERA',
    'AccessReason',
    'Changes',
    'ClientId',
    'Compacted',
    'Conflict',
    'DirectAccess',
    'FollowedRecords',
    'Host',
    'HostList',
    'HostListError',
    'HttpHostList',
    'HttpStore',
    'LeaseId',
    'LeaseLost',
    'Listing',
    'ReadOptions',
    'RecordFollower',
    'RecordReader',
    'Removed',
    'Store',
    'StoreContactLost',
    'StoreContactRegained',
    'StoreFailure',
    'TransactionalStore',
    'Unanswered',
    'Unavailable',
    'Versioned',
    'WatchPeriod',
    'era_of_lease',
    'era_of_revision',
    'join_lease',
    'join_revision',
    'split_lease',
    'split_revision',
)

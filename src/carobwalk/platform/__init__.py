"""Contracts of the platform's services and adapters to them."""

from carobwalk.platform._host_list import Host, HostList, HostListError
from carobwalk.platform._store import (
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

__all__ = (
    'ClientId',
    'Conflict',
    'Host',
    'HostList',
    'HostListError',
    'LeaseId',
    'LeaseLost',
    'Store',
    'StoreFailure',
    'Unanswered',
    'Unavailable',
    'Versioned',
)

"""Contracts of the platform's services and adapters to them."""

from carobwalk.platform._host_list import Host, HostList, HostListError
from carobwalk.platform._http_host_list import HOSTS_PATH, HttpHostList
from carobwalk.platform._http_store import HttpStore
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
    'HOSTS_PATH',
    'ClientId',
    'Conflict',
    'Host',
    'HostList',
    'HostListError',
    'HttpHostList',
    'HttpStore',
    'LeaseId',
    'LeaseLost',
    'Store',
    'StoreFailure',
    'Unanswered',
    'Unavailable',
    'Versioned',
)

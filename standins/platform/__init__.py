"""Stand-ins for the users' platform: store, backend servers, operator."""

from standins.platform._backend import Fault, PlatformBackend
from standins.platform._deployment import serve_deployment
from standins.platform._key_holder import KeyHolder
from standins.platform._keyed_backend import KeyedBackend
from standins.platform._kv_handler import KvHandler
from standins.platform._kv_store import KvStore
from standins.platform._memory_order_channel import (
    MemoryOrderChannel,
)
from standins.platform._order_effects import OrderEntry, find_double_owners
from standins.platform._order_faults import OrderFaults
from standins.platform._settings_file import RouterAddresses, fill_settings

__all__ = (
    'Fault',
    'KeyHolder',
    'KeyedBackend',
    'KvHandler',
    'KvStore',
    'MemoryOrderChannel',
    'OrderEntry',
    'OrderFaults',
    'PlatformBackend',
    'RouterAddresses',
    'fill_settings',
    'find_double_owners',
    'serve_deployment',
)

"""Stand-ins for the users' platform: store, backend servers, operator."""

from standins.platform._backend import Fault, PlatformBackend, ReceivedRequest
from standins.platform._deployment import serve_deployment
from standins.platform._key_holder import SLOW_CLOCK_RATE, KeyHolder
from standins.platform._keyed_backend import KeyedBackend, Order
from standins.platform._kv_copy import KvCopy, restore, take_copy
from standins.platform._kv_handler import KvHandler
from standins.platform._kv_store import KvStore
from standins.platform._memory_order_channel import (
    MemoryOrderChannel,
)
from standins.platform._order_effects import (
    OrderEntry,
    find_double_keys,
    find_double_owners,
)
from standins.platform._order_faults import OrderFaults
from standins.platform._settings_file import RouterAddresses, fill_settings

__all__ = (
    'SLOW_CLOCK_RATE',
    'Fault',
    'KeyHolder',
    'KeyedBackend',
    'KvCopy',
    'KvHandler',
    'KvStore',
    'MemoryOrderChannel',
    'Order',
    'OrderEntry',
    'OrderFaults',
    'PlatformBackend',
    'ReceivedRequest',
    'RouterAddresses',
    'fill_settings',
    'find_double_keys',
    'find_double_owners',
    'restore',
    'serve_deployment',
    'take_copy',
)

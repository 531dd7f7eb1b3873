"""Stand-ins of the users' platform: store, backend servers, operator."""

from standins.platform._backend import Fault, PlatformBackend
from standins.platform._kv_handler import KvHandler
from standins.platform._kv_store import KvStore
from standins.platform._order_book import KeyHolder, OrderBook

__all__ = (
    'Fault',
    'KeyHolder',
    'KvHandler',
    'KvStore',
    'OrderBook',
    'PlatformBackend',
)

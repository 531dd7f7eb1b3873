"""Messages of the platform's metadata store."""

import msgspec


class Row(msgspec.Struct):
    """An item, or the tombstone of a removed item."""

    key: str
    revision: int = 0
    value: str | None = None
    lease: int = 0
    deleted: bool = False


class Page(msgspec.Struct):
    """A page of items; ``as_of`` is the revision of the store."""

    items: tuple[Row, ...]
    as_of: int
    has_more: bool = False


class Watched(msgspec.Struct):
    """Answer to a watch; the next watch continues from ``as_of``."""

    events: tuple[Row, ...]
    as_of: int


class Expected(msgspec.Struct):
    """A precondition of a transaction; revision 0 means absent."""

    key: str
    revision: int


class Write(msgspec.Struct):
    """An item to write; ``value`` is base64, lease 0 means no lease."""

    key: str
    value: str
    lease: int = 0


class Transaction(msgspec.Struct):
    """An atomic change of several items."""

    precondition: tuple[Expected, ...]
    set_keys: tuple[Write, ...] = ()
    remove: tuple[str, ...] = ()


class Committed(msgspec.Struct):
    """Answer to a committed transaction."""

    revision: int


class Current(msgspec.Struct):
    """Current items of the preconditions that failed."""

    items: tuple[Row, ...] = ()


class LeaseWish(msgspec.Struct):
    """Request for a lease; ``ttl_s_time`` is its time to live in seconds."""

    ttl_s_time: float


class Lease(msgspec.Struct):
    """A lease that was opened."""

    lease: int
    ttl_s_time: float = 0

"""Bodies of the calls to the platform's metadata store."""

import msgspec


class Row(msgspec.Struct):
    """An item, or what is left of a removed one."""

    key: str
    revision: int = 0
    value: str | None = None
    lease: int = 0
    deleted: bool = False


class Page(msgspec.Struct):
    """A page of items; ``as_of`` is the store's revision."""

    items: tuple[Row, ...]
    as_of: int
    has_more: bool = False


class Watched(msgspec.Struct):
    """Answer of a watch; the next one goes on from ``as_of``."""

    events: tuple[Row, ...]
    as_of: int


class Expected(msgspec.Struct):
    """A condition of a transaction; revision 0 means absent."""

    key: str
    revision: int


class Write(msgspec.Struct):
    """An item to write; ``value`` is base64, lease 0 is none."""

    key: str
    value: str
    lease: int = 0


class Transaction(msgspec.Struct):
    """All-or-nothing change."""

    precondition: tuple[Expected, ...]
    set_keys: tuple[Write, ...] = ()
    remove: tuple[str, ...] = ()


class Committed(msgspec.Struct):
    """Answer to a transaction that took effect."""

    revision: int


class Current(msgspec.Struct):
    """Items of the conditions that did not hold, as they stand."""

    items: tuple[Row, ...] = ()


class LeaseWish(msgspec.Struct):
    """Request of a lease; ``ttl_s_time`` is its time to live in seconds."""

    ttl_s_time: float


class Lease(msgspec.Struct):
    """A lease that was opened."""

    lease: int
    ttl_s_time: float = 0

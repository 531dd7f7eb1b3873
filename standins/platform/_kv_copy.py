"""Copies of the key-value service, and its restore from one."""

from dataclasses import dataclass

from carobwalk.store import Removed, Versioned
from standins.platform._kv_store import KvStore

# Written by the operator and the servers, who write again after a restore.
_FOREIGN_PREFIXES = ('op/', 'servers/')


@dataclass(frozen=True, slots=True)
class KvCopy:
    """Content of a store at one moment.

    Args:
        revision: Revision of the store.
        by_name: Records by name.
        history: Changes that watches can still get.
        newest_lease: Number of the newest lease, 0 for none.
    """

    revision: int
    by_name: dict[str, Versioned]
    history: tuple[Versioned | Removed, ...]
    newest_lease: int


def take_copy(store: KvStore) -> KvCopy:
    """Return a copy to restore a store from later."""
    records = store.records
    return KvCopy(
        records.revision,
        dict(records.by_name),
        tuple(records.history),
        store.leases.newest,
    )


def restore(store: KvStore, copy: KvCopy) -> None:
    """Set a store back to a copy; revisions are issued again from there.

    Records of the operator and the servers are written again as they were.

    Args:
        store: Store to restore.
        copy: Its content at an earlier moment.
    """
    records = store.records
    current = dict(records.by_name)
    store.era += 1
    store.leases.restore(copy.newest_lease)
    records.revision = copy.revision
    records.by_name = dict(copy.by_name)
    records.history = list(copy.history)
    records.notify()
    for name in sorted(current.keys() | copy.by_name.keys()):
        if name.startswith(_FOREIGN_PREFIXES):
            _write_again(store, name, current.get(name))


def _write_again(store: KvStore, name: str, row: Versioned | None) -> None:
    restored = store.records.by_name.get(name)
    if row is None:
        store.records.remove(name)
    elif restored is None or restored.content != row.content:
        store.records.put(name, row.content)

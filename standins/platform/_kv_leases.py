"""Leases that remove records when they end, in memory."""

from dataclasses import dataclass
from itertools import count

import trio

from carobwalk.store import LeaseId
from standins.platform._kv_records import KvRecords


@dataclass(slots=True)
class _Lease:
    ttl: float
    ends: float


class KvLeases:
    """Leases by id.

    Args:
        records: Records that leases hold.
    """

    def __init__(self, records: KvRecords) -> None:
        self._records = records
        self._numbers = count(1)
        self._leases_by_id: dict[LeaseId, _Lease] = {}
        self._lease_by_name: dict[str, LeaseId] = {}

    def __contains__(self, lease: LeaseId) -> bool:
        """Return whether a lease has not ended."""
        return lease in self._leases_by_id

    def open(self, ttl: float) -> LeaseId:
        """Open a lease."""
        lease = LeaseId(str(next(self._numbers)))
        self._leases_by_id[lease] = _Lease(ttl, trio.current_time() + ttl)
        return lease

    def keep(self, lease: LeaseId) -> bool:
        """Renew a lease; return whether it had not ended."""
        kept = self._leases_by_id.get(lease)
        if kept is None:
            return False
        kept.ends = trio.current_time() + kept.ttl
        return True

    def attach(self, name: str, lease: LeaseId | None) -> None:
        """Let a lease hold a record, or none."""
        self._lease_by_name.pop(name, None)
        if lease is not None:
            self._lease_by_name[name] = lease

    def end(self, lease: LeaseId) -> None:
        """End a lease and remove its records."""
        self._leases_by_id.pop(lease, None)
        for name, holder in tuple(self._lease_by_name.items()):
            if holder == lease:
                self._lease_by_name.pop(name)
                self._records.remove(name)

    def lapse(self) -> None:
        """End the leases whose time is over."""
        now = trio.current_time()
        for lease, kept in tuple(self._leases_by_id.items()):
            if kept.ends <= now:
                self.end(lease)

    def next_end(self) -> float:
        """Return when the next lease ends."""
        ends = (kept.ends for kept in self._leases_by_id.values())
        return min(ends, default=float('inf'))

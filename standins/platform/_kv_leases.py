"""In-memory leases whose expiry removes records."""

from dataclasses import dataclass
from itertools import count

import trio

from carobwalk.store import LeaseId
from standins.platform._kv_records import KvRecords


@dataclass(slots=True)
class _Lease:
    ttl: float
    expires_at: float


class KvLeases:
    """Leases by id.

    Args:
        records: Records that may be attached to leases.
    """

    def __init__(self, records: KvRecords) -> None:
        self._records = records
        self._numbers = count(1)
        self.newest = 0
        self._leases_by_id: dict[LeaseId, _Lease] = {}
        self._lease_by_name: dict[str, LeaseId] = {}

    def __contains__(self, lease: LeaseId) -> bool:
        """Return whether a lease exists."""
        return lease in self._leases_by_id

    def open(self, ttl: float) -> LeaseId:
        """Grant a lease with a time to live of ``ttl`` seconds."""
        self.newest = next(self._numbers)
        lease = LeaseId(str(self.newest))
        self._leases_by_id[lease] = _Lease(ttl, trio.current_time() + ttl)
        return lease

    def renew(self, lease: LeaseId) -> bool:
        """Renew a lease; return whether it still existed."""
        found = self._leases_by_id.get(lease)
        if found is None:
            return False
        found.expires_at = trio.current_time() + found.ttl
        return True

    def attach(self, name: str, lease: LeaseId | None) -> None:
        """Attach a record to a lease, or detach it if there is none."""
        self._lease_by_name.pop(name, None)
        if lease is not None:
            self._lease_by_name[name] = lease

    def revoke(self, lease: LeaseId) -> None:
        """Revoke a lease and remove its records."""
        self._leases_by_id.pop(lease, None)
        for name, holder in tuple(self._lease_by_name.items()):
            if holder == lease:
                self._lease_by_name.pop(name)
                self._records.remove(name)

    def restore(self, newest: int) -> None:
        """Forget the leases opened since a copy; their numbers come again.

        Records that the copy holds without a lease of its time are removed.

        Args:
            newest: Number of the newest lease in the copy, 0 for none.
        """
        gone = {lease for lease in self._leases_by_id if int(lease) > newest}
        for lease in gone:
            self.revoke(lease)
        self._numbers = count(newest + 1)
        self.newest = newest

    def expire(self) -> None:
        """Revoke the leases that have expired."""
        now = trio.current_time()
        for lease, found in tuple(self._leases_by_id.items()):
            if found.expires_at <= now:
                self.revoke(lease)

    def next_expiry(self) -> float:
        """Return the earliest expiry time; infinite without leases."""
        expiries = (found.expires_at for found in self._leases_by_id.values())
        return min(expiries, default=float('inf'))

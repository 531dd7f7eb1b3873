"""Leases of the key-value service."""

import math
from dataclasses import dataclass, field

import trio
from result import Err, Ok, Result

from carobwalk.store import LeaseId, LeaseLost


@dataclass(slots=True)
class _Lease:
    ttl: float
    expires_at: float
    record_names: set[str] = field(default_factory=set)


class LeaseTable:
    """Leases and the names of the records that expire with them."""

    def __init__(self) -> None:
        self._leases_by_id: dict[LeaseId, _Lease] = {}
        self._opened = 0

    def open(self, ttl: float) -> LeaseId:
        """Grant a lease with a time to live of ``ttl`` seconds."""
        self._opened += 1
        lease = LeaseId(f'lease-{self._opened}')
        self._leases_by_id[lease] = _Lease(ttl, trio.current_time() + ttl)
        return lease

    def renew(self, lease_id: LeaseId) -> Result[None, LeaseLost]:
        """Renew a lease for its full time to live."""
        if not self.is_live(lease_id):
            return Err(LeaseLost(lease_id))
        lease = self._leases_by_id[lease_id]
        lease.expires_at = trio.current_time() + lease.ttl
        return Ok(None)

    def is_live(self, lease_id: LeaseId) -> bool:
        """Return whether the lease has not expired."""
        lease = self._leases_by_id.get(lease_id)
        return lease is not None and lease.expires_at > trio.current_time()

    def attach(self, name: str, owner: LeaseId | None) -> None:
        """Attach a record to a lease, or detach it if there is no owner."""
        for lease_id, lease in self._leases_by_id.items():
            lease.record_names.discard(name)
            if lease_id == owner:
                lease.record_names.add(name)

    def pop_expired(self) -> tuple[str, ...]:
        """Remove the expired leases and return the names attached to them."""
        now = trio.current_time()
        expired = [
            lease_id
            for lease_id, lease in self._leases_by_id.items()
            if lease.expires_at <= now
        ]
        record_names: set[str] = set()
        for lease_id in expired:
            record_names.update(self._leases_by_id.pop(lease_id).record_names)
        return tuple(sorted(record_names))

    def next_expiry(self) -> float:
        """Return the earliest expiry time; infinite without leases."""
        expiries = [lease.expires_at for lease in self._leases_by_id.values()]
        return min(expiries, default=math.inf)

"""Leases of the key-value service."""

import math
from dataclasses import dataclass, field

import trio
from result import Err, Ok, Result

from carobwalk.store import LeaseId, LeaseLost


@dataclass(slots=True)
class _Lease:
    ttl: float
    ends_at: float
    names: set[str] = field(default_factory=set)


class LeaseTable:
    """Leases and the names of the records that they hold."""

    def __init__(self) -> None:
        self._leases_by_id: dict[LeaseId, _Lease] = {}
        self._opened = 0

    def open(self, ttl: float) -> LeaseId:
        """Open a lease of ``ttl`` seconds."""
        self._opened += 1
        lease = LeaseId(f'lease-{self._opened}')
        self._leases_by_id[lease] = _Lease(ttl, trio.current_time() + ttl)
        return lease

    def renew(self, lease_id: LeaseId) -> Result[None, LeaseLost]:
        """Renew a lease for its whole time to live."""
        if not self.is_live(lease_id):
            return Err(LeaseLost(lease_id))
        lease = self._leases_by_id[lease_id]
        lease.ends_at = trio.current_time() + lease.ttl
        return Ok(None)

    def is_live(self, lease_id: LeaseId) -> bool:
        """Return whether the lease has time left."""
        lease = self._leases_by_id.get(lease_id)
        return lease is not None and lease.ends_at > trio.current_time()

    def attach(self, name: str, owner: LeaseId | None) -> None:
        """Let a record end with a lease, or with none."""
        for lease_id, lease in self._leases_by_id.items():
            lease.names.discard(name)
            if lease_id == owner:
                lease.names.add(name)

    def take_ended(self) -> tuple[str, ...]:
        """Forget the ended leases and return the names they held."""
        now = trio.current_time()
        ended = [
            lease_id
            for lease_id, lease in self._leases_by_id.items()
            if lease.ends_at <= now
        ]
        names: set[str] = set()
        for lease_id in ended:
            names.update(self._leases_by_id.pop(lease_id).names)
        return tuple(sorted(names))

    def next_end(self) -> float:
        """Return the time at which the next lease may end."""
        ends = [lease.ends_at for lease in self._leases_by_id.values()]
        return min(ends, default=math.inf)

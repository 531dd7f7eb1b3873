"""Records of the key-value service."""

from result import Err, Ok, Result

from carobwalk.store import (
    Conflict,
    LeaseId,
    LeaseLost,
    Unavailable,
    Versioned,
)
from standins._lease_table import LeaseTable

CONTENT_LIMIT_BYTES = 1_000_000

WriteRefusal = Conflict | LeaseLost | Unavailable


class StoreState:
    """Linearizable store on the clock of the event loop; no method blocks.

    The revision is store-wide: each write, deletion and expiry of a lease with
    attached records increments it.
    """

    def __init__(self) -> None:
        self.leases = LeaseTable()
        self._revision = 0
        self._records_by_name: dict[str, Versioned] = {}
        self._deleted_by_name: dict[str, Versioned] = {}

    def find(self, name: str) -> Versioned | None:
        """Return a record, ``None`` if it does not exist."""
        self._expire_leases()
        return self._records_by_name.get(name)

    def list_prefix(self, prefix: str) -> tuple[Versioned, ...]:
        """Return the records whose names start with the prefix, by name."""
        self._expire_leases()
        names = sorted(self._records_by_name)
        return tuple(
            self._records_by_name[name]
            for name in names
            if name.startswith(prefix)
        )

    def changes(self, prefix: str, after: int) -> tuple[Versioned, ...]:
        """Return records of a prefix changed or deleted since, by revision."""
        self._expire_leases()
        known = (
            *self._records_by_name.values(),
            *self._deleted_by_name.values(),
        )
        newer = [
            record
            for record in known
            if record.revision > after and record.name.startswith(prefix)
        ]
        return tuple(sorted(newer, key=lambda record: record.revision))

    def write(
        self,
        name: str,
        content: bytes,
        expected_revision: int,
        lease: LeaseId | None,
    ) -> Result[int, WriteRefusal]:
        """Write a record if its revision matches the expected one."""
        if len(content) > CONTENT_LIMIT_BYTES:
            return Err(
                Unavailable(f'{len(content)} bytes are above the limit'),
            )
        if lease is not None and not self.leases.is_live(lease):
            return Err(LeaseLost(lease))
        refusal = self._check_revision(name, expected_revision)
        if refusal is not None:
            return Err(refusal)
        self._revision += 1
        self._deleted_by_name.pop(name, None)
        self._records_by_name[name] = Versioned(name, content, self._revision)
        self.leases.attach(name, lease)
        return Ok(self._revision)

    def delete(
        self,
        name: str,
        expected_revision: int,
    ) -> Result[int, WriteRefusal]:
        """Delete a record if its revision matches the expected one."""
        refusal = self._check_revision(name, expected_revision)
        if refusal is not None:
            return Err(refusal)
        self._remove(name)
        self.leases.attach(name, None)
        return Ok(self._revision)

    def _check_revision(
        self, name: str, expected_revision: int
    ) -> Conflict | None:
        current = self.find(name)
        revision = 0 if current is None else current.revision
        return None if revision == expected_revision else Conflict(current)

    def _expire_leases(self) -> None:
        for name in self.leases.pop_expired():
            self._remove(name)

    def _remove(self, name: str) -> None:
        if self._records_by_name.pop(name, None) is None:
            return
        self._revision += 1
        self._deleted_by_name[name] = Versioned(name, b'', self._revision)

"""Identity of the coordinator that wrote a key map record."""

from dataclasses import dataclass

import msgspec

from carobwalk.model import Endpoint
from carobwalk.peer import EndpointRow, endpoint_of_row, endpoint_row
from carobwalk.store import LeaseId, era_of_lease, era_of_revision


@dataclass(frozen=True, slots=True)
class Claimant:
    """Coordinator that wrote a key map, and the term in which it did so.

    Args:
        coordinator: Endpoint of the process.
        lease: Lease that bounds the term.
    """

    coordinator: Endpoint
    lease: LeaseId

    def is_of_era(self, revision: int) -> bool:
        """Return whether the term began in the era of a revision.

        Args:
            revision: Revision that the store gives for the record now. If the
                store was restored since, the record is an older copy.
        """
        return era_of_lease(self.lease) == era_of_revision(revision)


class ClaimantRow(msgspec.Struct):
    """Serialised form of a claimant in key map records.

    Args:
        coordinator: Endpoint of the process.
        lease: Lease that bounds its term.
    """

    coordinator: EndpointRow
    lease: str


def claimant_row(claimant: Claimant | None) -> ClaimantRow | None:
    """Return the serialised form of a claimant."""
    if claimant is None:
        return None
    row = endpoint_row(claimant.coordinator)
    return ClaimantRow(row, str(claimant.lease))


def read_claimant(row: ClaimantRow | None) -> Claimant | None:
    """Return the claimant for its serialised form."""
    if row is None:
        return None
    return Claimant(endpoint_of_row(row.coordinator), LeaseId(row.lease))

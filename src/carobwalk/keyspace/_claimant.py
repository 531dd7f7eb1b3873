"""The coordinator that wrote a map, as the map's record names it."""

from dataclasses import dataclass

import msgspec

from carobwalk.keyspace._coordinator_codec import (
    CoordinatorRow,
    coordinator_endpoint,
    coordinator_row,
)
from carobwalk.model import Endpoint
from carobwalk.store import LeaseId


@dataclass(frozen=True, slots=True)
class Claimant:
    """The coordinator that wrote a map, in one of its terms.

    Args:
        coordinator: The process.
        lease: Lease of the term.
    """

    coordinator: Endpoint
    lease: LeaseId


class ClaimantRow(msgspec.Struct):
    """A claimant, as records name it.

    Args:
        coordinator: The process.
        lease: Lease of its term.
    """

    coordinator: CoordinatorRow
    lease: str


def claimant_row(claimant: Claimant | None) -> ClaimantRow | None:
    """Return a claimant as records name it."""
    if claimant is None:
        return None
    row = coordinator_row(claimant.coordinator)
    return ClaimantRow(row, str(claimant.lease))


def read_claimant(row: ClaimantRow | None) -> Claimant | None:
    """Return the claimant that a record names."""
    if row is None:
        return None
    return Claimant(coordinator_endpoint(row.coordinator), LeaseId(row.lease))

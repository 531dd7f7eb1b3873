"""Claiming of a service's key map by a new coordinator."""

from dataclasses import dataclass
from typing import Final

from result import Err

from carobwalk.keyspace._claimant import Claimant
from carobwalk.keyspace._codec import claimant_of, is_settled
from carobwalk.keyspace._grant_ledger import InheritedBounds
from carobwalk.keyspace._key_map import KeyMap
from carobwalk.keyspace._map_writer import MapWriter, is_outdated
from carobwalk.keyspace._times import KeyTimes
from carobwalk.lease import Term
from carobwalk.store import Versioned, era_of_lease

_SETTLED_SLACK_SECONDS: Final = 0.1


@dataclass(frozen=True, slots=True)
class MapClaim:
    """A key map that earlier coordinators can no longer overwrite.

    Args:
        key_map: Claimed map.
        inherited: Bounds on the grants of earlier coordinators.
        predecessor: Coordinator that wrote the map before, if known. That of a
            damaged map is not asked: its report would not cover the keys.
    """

    key_map: KeyMap
    inherited: InheritedBounds
    predecessor: Claimant | None = None


async def claim_map(
    writer: MapWriter,
    times: KeyTimes,
    term: Term,
) -> MapClaim | None:
    """Rewrite a key map unchanged to fence off earlier coordinators.

    The new revision makes conditional writes of earlier coordinators fail.

    Args:
        writer: Reads and writes the map.
        times: Timing settings of grants.
        term: Term of this process.

    Returns:
        The claim, ``None`` if the store failed, another coordinator wrote
        the map, or the term may be over.
    """
    read = await writer.read()
    # A record read after the term may be that of the next coordinator. One
    # read during the term is not, and the write fails if it changed since.
    if isinstance(read, Err) or not term.is_valid:
        return None
    record = read.ok_value
    key_map = writer.decode(record)
    if not key_map.ranges and not key_map.revision:
        return MapClaim(key_map, _bounds_without_record(times, term))
    if key_map.ranges:
        claimed = await writer.claim(key_map)
        if claimed is None or claimed.ranges != key_map.ranges:
            return None
        key_map = claimed
    return MapClaim(
        key_map,
        _inherited_bounds(record, times),
        claimant_of(record.content) if record and key_map.ranges else None,
    )


def _inherited_bounds(
    record: Versioned | None, times: KeyTimes
) -> InheritedBounds:
    """Return how long grants of earlier coordinators may be in force."""
    if record is not None and is_outdated(record):
        # The record names neither the last owners nor the last coordinator,
        # whose term may last until its lease would have expired.
        return _bounds_of_former_era(times)
    unanswered = times.inherited
    if record is not None and is_settled(record.content):
        unanswered = _SETTLED_SLACK_SECONDS
    return InheritedBounds(holds=times.inherited, unanswered=unanswered)


def _bounds_without_record(times: KeyTimes, term: Term) -> InheritedBounds:
    """Return how long grants of a map without a record may be in force.

    A store that was restored may have lost the record with the grants that
    followed it.
    """
    if era_of_lease(term.lease):
        return _bounds_of_former_era(times)
    return InheritedBounds(holds=0, unanswered=0)


def _bounds_of_former_era(times: KeyTimes) -> InheritedBounds:
    """Return how long grants from before a restore may be in force."""
    bound = times.lease + times.inherited
    return InheritedBounds(holds=bound, unanswered=bound)

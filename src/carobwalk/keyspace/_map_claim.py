"""Claim of a service's map by a new coordinator."""

from dataclasses import dataclass
from typing import Final

from result import Err

from carobwalk.keyspace._claimant import Claimant
from carobwalk.keyspace._codec import claimant_of, is_settled
from carobwalk.keyspace._grant_ledger import Inherited
from carobwalk.keyspace._key_map import KeyMap
from carobwalk.keyspace._map_writer import MapWriter
from carobwalk.keyspace._times import KeyTimes

_SETTLED_SLACK_SECONDS: Final = 0.1


@dataclass(frozen=True, slots=True)
class MapClaim:
    """A map that nobody else can write any more.

    Args:
        key_map: The map.
        inherited: Grants that earlier coordinators sent.
        predecessor: The coordinator that wrote the map before, if known.
    """

    key_map: KeyMap
    inherited: Inherited
    predecessor: Claimant | None = None


async def claim_map(writer: MapWriter, times: KeyTimes) -> MapClaim | None:
    """Write a map as it is, which shuts earlier coordinators out.

    Args:
        writer: Writes the map.
        times: Times of grants.

    Returns:
        The claim, ``None`` if it failed.
    """
    read = await writer.read()
    if isinstance(read, Err):
        return None
    record = read.ok_value
    key_map = writer.decode(record)
    if not key_map.ranges and not key_map.revision:
        return MapClaim(key_map, Inherited(holds=0, unanswered=0))
    if key_map.ranges:
        claimed = await writer.write(key_map)
        if claimed is None or claimed.ranges != key_map.ranges:
            return None
        key_map = claimed
    unanswered = times.inherited
    if record is not None and is_settled(record.content):
        unanswered = _SETTLED_SLACK_SECONDS
    return MapClaim(
        key_map,
        Inherited(holds=times.inherited, unanswered=unanswered),
        claimant_of(record.content) if record else None,
    )

"""Record of a group in the store."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Final

import msgspec

from carobwalk.model import ProcessId, ServerId, ServiceName, ShardNumber
from carobwalk.ownership._exceptions import RecordTooLargeError
from carobwalk.ownership._server_messages import ShardId
from carobwalk.ownership._succession import Holder, Succession

RECORD_LIMIT_BYTES: Final = 900_000
_NO_SUCCESSOR: Final = -1


@dataclass(frozen=True, slots=True, kw_only=True)
class GroupRecord:
    """Coordinator and successions of a group.

    The epoch and the successions share one record that is written by
    compare-and-swap, so that a write of a deposed coordinator conflicts.

    Args:
        epoch: Number of elections so far.
        coordinator: Process that was elected in this epoch.
        write_id: Random identity of the write that produced the record.
        successions: Successions by service and shard.
    """

    epoch: int
    coordinator: ProcessId
    write_id: str
    successions: Mapping[ShardId, Succession] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class _StoredGroup:
    """Stored layout: holders are listed once and referenced by index."""

    epoch: int
    coordinator: str
    write_id: str
    holders: list[tuple[str, str]]
    rows_by_service: dict[str, list[tuple[int, int, int]]]


def encode_group(record: GroupRecord) -> bytes:
    """Encode a record as JSON.

    Raises:
        RecordTooLargeError: If it exceeds the size limit of the store.
    """
    indexes: dict[Holder, int] = {}
    rows: dict[str, list[tuple[int, int, int]]] = {}
    for (service, shard), succession in record.successions.items():
        owner_index = indexes.setdefault(succession.owner, len(indexes))
        successor_index = _NO_SUCCESSOR
        if succession.successor is not None:
            successor_index = indexes.setdefault(
                succession.successor, len(indexes)
            )
        rows.setdefault(service, []).append(
            (shard, owner_index, successor_index)
        )
    encoded = msgspec.json.encode(
        _StoredGroup(
            epoch=record.epoch,
            coordinator=record.coordinator,
            write_id=record.write_id,
            holders=[(key.server, key.incarnation) for key in indexes],
            rows_by_service=rows,
        ),
    )
    if len(encoded) > RECORD_LIMIT_BYTES:
        raise RecordTooLargeError(
            f'group record too large: {len(encoded)} bytes'
        )
    return encoded


def decode_group(encoded: bytes) -> GroupRecord:
    """Decode a stored record."""
    stored = msgspec.json.decode(encoded, type=_StoredGroup)
    holders = [
        Holder(ServerId(name), incarnation)
        for name, incarnation in stored.holders
    ]
    successions = {
        (ServiceName(service), ShardNumber(row[0])): _succession(holders, row)
        for service, rows in stored.rows_by_service.items()
        for row in rows
    }
    return GroupRecord(
        epoch=stored.epoch,
        coordinator=ProcessId(stored.coordinator),
        write_id=stored.write_id,
        successions=successions,
    )


def _succession(
    holders: list[Holder],
    row: tuple[int, int, int],
) -> Succession:
    _, owner_index, successor_index = row
    successor = (
        None if successor_index == _NO_SUCCESSOR else holders[successor_index]
    )
    return Succession(holders[owner_index], successor)

"""The record of a group in the store."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Final

import msgspec

from carobwalk.model import ProcessId, ServerId, ServiceName, ShardNumber
from carobwalk.ownership._exceptions import RecordTooLargeError
from carobwalk.ownership._server_messages import ShardId
from carobwalk.ownership._succession import Holder, Succession

RECORD_LIMIT_BYTES: Final = 900_000
_NONE: Final = -1


@dataclass(frozen=True, slots=True, kw_only=True)
class GroupRecord:
    """Coordinator and successions of a group; one compare-and-swap.

    The epoch and the successions share one record, so that a write of a
    deposed coordinator fails on the revision.

    Args:
        epoch: Count of elections.
        coordinator: Process that was elected.
        write_id: Unique name of the write that made the record.
        successions: Successions by service and shard.
    """

    epoch: int
    coordinator: ProcessId
    write_id: str
    successions: Mapping[ShardId, Succession] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class _StoredGroup:
    """Layout in the store: holders are listed once and named by index."""

    epoch: int
    coordinator: str
    write_id: str
    holders: list[tuple[str, str]]
    rows_by_service: dict[str, list[tuple[int, int, int]]]


def encode_group(record: GroupRecord) -> bytes:
    """Return the bytes of a record.

    Raises:
        RecordTooLargeError: If the store would not take it.
    """
    indexes: dict[Holder, int] = {}
    rows: dict[str, list[tuple[int, int, int]]] = {}
    for (service, shard), succession in record.successions.items():
        first = indexes.setdefault(succession.owner, len(indexes))
        second = _NONE
        if succession.successor is not None:
            second = indexes.setdefault(succession.successor, len(indexes))
        rows.setdefault(service, []).append((shard, first, second))
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
        raise RecordTooLargeError(f'group record of {len(encoded)} bytes')
    return encoded


def decode_group(encoded: bytes) -> GroupRecord:
    """Return the record in bytes from the store."""
    stored = msgspec.json.decode(encoded, type=_StoredGroup)
    holders = [Holder(ServerId(name), inc) for name, inc in stored.holders]
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
    _, first, second = row
    successor = None if second == _NONE else holders[second]
    return Succession(holders[first], successor)

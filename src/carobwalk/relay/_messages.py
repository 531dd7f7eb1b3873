"""Messages between a relay and the processes that read records from it."""

import math
from typing import Final

import msgspec

from carobwalk.peer import Topic
from carobwalk.relay._compression import compress, decompress
from carobwalk.store import Removed, Versioned

RELAY_TOPIC: Final = Topic('relay.records')
# Smaller contents are sent as they are.
_MIN_COMPRESSED_BYTES: Final = 4096


class RecordRow(msgspec.Struct, array_like=True, frozen=True):
    """Last state of one record.

    Args:
        name: Name of the record.
        revision: Revision of its last change.
        content: Its content, ``None`` if it was removed.
        is_compressed: Whether the content is compressed.
    """

    name: str
    revision: int
    content: bytes | None
    is_compressed: bool = False


class RecordUpdate(msgspec.Struct, array_like=True, frozen=True):
    """Changes of the records with a prefix, or all of these records.

    Args:
        prefix: Common prefix of the record names.
        revision: Revision of the store that the update leads to.
        rows: Changed records, or all records of a listing.
        is_listing: Whether a record that is not in the update doesn't exist.
        is_after_outage: Whether missing records may have expired only because
            of an outage of the store that has just ended.
    """

    prefix: str
    revision: int
    rows: tuple[RecordRow, ...]
    is_listing: bool = False
    is_after_outage: bool = False


class RelayQuestion(msgspec.Struct, array_like=True):
    """Request for all changes after the known revisions.

    Args:
        known: Known revision of each prefix, in the order of the names of the
            prefixes, 0 for none.
        hold: Longest time in seconds that the question is held open.
        is_notice: Whether to tell only that there are changes.
    """

    known: tuple[int, ...]
    hold: float
    is_notice: bool = False


class RelayAnswer(msgspec.Struct, array_like=True):
    """Answer to a request for changes.

    Args:
        is_fresh: Whether the answering process relays, and the store answers
            it; if not, the rest of the answer is empty.
        updates: Changes, empty if there are none or in the answer to a
            request for a notice.
        revisions: Revision of the last change of each prefix, in the order of
            the names of the prefixes.
        age: Seconds since the last proof that no other changes exist, when
            the answer was made.
        held: Seconds between the arrival of the question and the answer.
    """

    is_fresh: bool
    updates: tuple[RecordUpdate, ...] = ()
    revisions: tuple[int, ...] = ()
    age: float = math.inf
    held: float = 0


def make_row(change: Versioned | Removed) -> RecordRow:
    """Return the serialised form of the last change of a record."""
    if isinstance(change, Removed):
        return RecordRow(change.name, change.revision, None)
    content = change.content
    if len(content) < _MIN_COMPRESSED_BYTES:
        return RecordRow(change.name, change.revision, content)
    packed = compress(content)
    return RecordRow(change.name, change.revision, packed, is_compressed=True)


def read_row(row: RecordRow) -> Versioned | Removed:
    """Return the change for its serialised form.

    Raises:
        ValueError: The compressed content is damaged.
    """
    content = row.content
    if content is None:
        return Removed(row.name, row.revision)
    if row.is_compressed:
        content = decompress(content)
    return Versioned(row.name, content, row.revision)

"""Log events of the relaying of records."""

from dataclasses import dataclass
from typing import ClassVar

from carobwalk.events import Event


@dataclass(frozen=True, slots=True)
class RelayChanged(Event):
    """This process reads records from another process than before.

    Args:
        relay: Process that it reads from; empty if it reads from the store.
        before: Process that it read from before; empty for the store.
        cause: Why it no longer reads from that one.
    """

    relay: str
    before: str
    cause: str


@dataclass(frozen=True, slots=True)
class RelayTermStarted(Event):
    """This process began to relay the store's records for its region.

    Args:
        lease: Lease that the role is bound to.
        region: Region of the process.
    """

    lease: str
    region: str


@dataclass(frozen=True, slots=True)
class RelayRecordDamaged(Event):
    """The record of a relay can't be decoded and is ignored.

    Args:
        name: Name of the record.
        detail: Description of the error.
    """

    level: ClassVar[str] = 'warning'

    name: str
    detail: str

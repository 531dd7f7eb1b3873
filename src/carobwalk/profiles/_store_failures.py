"""Failures of configuration reads and writes that the store causes."""

from dataclasses import dataclass
from typing import TypeAlias

from carobwalk.profiles._failures import (
    AlreadyExists,
    ConfigurationTooLarge,
    InUse,
    Invalid,
    NotFound,
    RevertsAnother,
    StaleRevision,
)


@dataclass(frozen=True, slots=True)
class StoreUnavailable:
    """The store did not answer in time, and nothing was changed.

    Args:
        detail: Last failure of the store.
    """

    detail: str

    @property
    def way_out(self) -> str:
        """Corrective action for the operator."""
        return 'nothing was changed; repeat the call when the store answers'


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The write timed out and may or may not have taken effect.

    Args:
        write_id: Idempotency key, by which a later read finds the outcome.
        detail: Last failure of the store.
    """

    write_id: str
    detail: str

    @property
    def way_out(self) -> str:
        """Corrective action for the operator."""
        return f'ask for write {self.write_id}, or repeat it with the same id'


@dataclass(frozen=True, slots=True)
class StoreBehind:
    """The store holds an older revision than one known to be accepted.

    Args:
        store_revision: Revision that the store holds.
        known_revision: Higher revision that was seen before.
    """

    store_revision: int
    known_revision: int

    @property
    def detail(self) -> str:
        """Description of the failure."""
        return (
            f'the store holds revision {self.store_revision},'
            f' below {self.known_revision}'
        )

    @property
    def way_out(self) -> str:
        """Corrective action for the operator."""
        return 'name a revision that was read, or restore the store'


@dataclass(frozen=True, slots=True)
class WriteIdTaken:
    """The write id was already used for a different write.

    Args:
        write_id: The reused id.
        revision: Revision that the earlier write created.
    """

    write_id: str
    revision: int

    @property
    def detail(self) -> str:
        """Description of the failure."""
        return f'write {self.write_id} made revision {self.revision}'

    @property
    def way_out(self) -> str:
        """Corrective action for the operator."""
        return 'repeat the write with a fresh id'


@dataclass(frozen=True, slots=True)
class ChangeNotKept:
    """The history has no such change, or no longer retains it.

    Args:
        revision: Revision of the change; 0 if it was looked up by write id.
        write_id: Id of the write; empty if it was looked up by revision.
    """

    revision: int
    write_id: str = ''

    @property
    def detail(self) -> str:
        """Description of the failure."""
        return 'the history does not hold the change'

    @property
    def way_out(self) -> str:
        """Corrective action for the operator."""
        return 'the write did not take effect, or its change was compacted'


ReadFailure: TypeAlias = StoreUnavailable | ChangeNotKept
ConfigurationFailure: TypeAlias = (
    AlreadyExists
    | ChangeNotKept
    | ConfigurationTooLarge
    | InUse
    | Invalid
    | NotFound
    | OutcomeUnknown
    | RevertsAnother
    | StaleRevision
    | StoreBehind
    | StoreUnavailable
    | WriteIdTaken
)

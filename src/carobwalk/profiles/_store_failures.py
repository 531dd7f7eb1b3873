"""Failures of the configuration that come from the store."""

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
    """The store did not answer in time; nothing was changed."""

    detail: str

    @property
    def way_out(self) -> str:
        """What the operator can do."""
        return 'nothing was changed; repeat the call when the store answers'


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The write may have taken effect, and the store does not tell.

    Args:
        write_id: Identity of the write, by which a later read settles it.
        detail: Cause in plain English.
    """

    write_id: str
    detail: str

    @property
    def way_out(self) -> str:
        """What the operator can do."""
        return f'ask for write {self.write_id}, or repeat it with the same id'


@dataclass(frozen=True, slots=True)
class StoreBehind:
    """The store holds a lower revision than one that was accepted."""

    store_revision: int
    known_revision: int

    @property
    def detail(self) -> str:
        """What happened."""
        return (
            f'the store holds revision {self.store_revision},'
            f' below {self.known_revision}'
        )

    @property
    def way_out(self) -> str:
        """What the operator can do."""
        return 'name a revision that was read, or restore the store'


@dataclass(frozen=True, slots=True)
class WriteIdTaken:
    """The write id belongs to another write."""

    write_id: str
    revision: int

    @property
    def detail(self) -> str:
        """What happened."""
        return f'write {self.write_id} made revision {self.revision}'

    @property
    def way_out(self) -> str:
        """What the operator can do."""
        return 'repeat the write with a fresh id'


@dataclass(frozen=True, slots=True)
class ChangeNotKept:
    """The change is not in the history, or no longer."""

    revision: int
    write_id: str = ''

    @property
    def detail(self) -> str:
        """What happened."""
        return 'the history does not hold the change'

    @property
    def way_out(self) -> str:
        """What the operator can do."""
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

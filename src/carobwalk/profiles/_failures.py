"""Why a read or a write of the configuration failed."""

from dataclasses import dataclass

from carobwalk.profiles._change import Change
from carobwalk.profiles._problem import Problem
from carobwalk.profiles._subject import Subject


@dataclass(frozen=True, slots=True)
class StaleRevision:
    """Another write changed the subject after the named revision.

    Args:
        subject: Subject of the losing write.
        base_revision: Revision that the losing write named.
        current_revision: Revision that last changed the subject.
        changes: The others' changes, as far as the record still holds them.
    """

    subject: Subject
    base_revision: int
    current_revision: int
    changes: tuple[Change, ...]

    @property
    def detail(self) -> str:
        """What happened."""
        return (
            f'{self.subject} was changed at revision {self.current_revision},'
            f' after revision {self.base_revision}'
        )

    @property
    def way_out(self) -> str:
        """What the operator can do."""
        return 'read the subject again, and repeat the write on its revision'


@dataclass(frozen=True, slots=True)
class AlreadyExists:
    """The subject of a creation exists."""

    subject: Subject
    revision: int

    @property
    def detail(self) -> str:
        """What happened."""
        return f'{self.subject} exists since revision {self.revision}'

    @property
    def way_out(self) -> str:
        """What the operator can do."""
        return f'edit {self.subject}, or choose another name'


@dataclass(frozen=True, slots=True)
class NotFound:
    """The subject does not exist."""

    subject: Subject

    @property
    def detail(self) -> str:
        """What happened."""
        return f'there is no {self.subject}'

    @property
    def way_out(self) -> str:
        """What the operator can do."""
        return f'list the names of kind {self.subject.kind}, or create it'


@dataclass(frozen=True, slots=True)
class InUse:
    """A profile that is to be deleted is in use.

    Args:
        subject: The profile.
        services: Services that run under it.
        children: Profiles that inherit from it.
    """

    subject: Subject
    services: tuple[str, ...]
    children: tuple[str, ...]

    @property
    def detail(self) -> str:
        """What happened."""
        return (
            f'{self.subject} has {len(self.services)} services'
            f' and {len(self.children)} children'
        )

    @property
    def way_out(self) -> str:
        """What the operator can do."""
        return 'assign its services and children to another profile first'


@dataclass(frozen=True, slots=True)
class Invalid:
    """The configuration that the write would make is not valid."""

    problems: tuple[Problem, ...]

    @property
    def detail(self) -> str:
        """What happened."""
        return f'the configuration would have {len(self.problems)} problems'

    @property
    def way_out(self) -> str:
        """What the operator can do."""
        return 'mend every listed problem and repeat the write'


@dataclass(frozen=True, slots=True)
class RevertsAnother:
    """The write takes back others' recent changes without saying so."""

    changes: tuple[Change, ...]

    @property
    def detail(self) -> str:
        """What happened."""
        return f'it takes back {len(self.changes)} changes of others'

    @property
    def way_out(self) -> str:
        """What the operator can do."""
        revisions = ', '.join(str(change.revision) for change in self.changes)
        return f'talk to the authors, or state reverting {revisions}'


@dataclass(frozen=True, slots=True)
class ConfigurationTooLarge:
    """The record would pass the limit, in bytes."""

    size: int
    limit: int

    @property
    def detail(self) -> str:
        """What happened."""
        return f'{self.size} bytes are above the limit of {self.limit}'

    @property
    def way_out(self) -> str:
        """What the operator can do."""
        return 'delete unused profiles or shorten fields'

"""Failures of configuration writes that validation or conflicts cause."""

from dataclasses import dataclass

from carobwalk.profiles._change import Change
from carobwalk.profiles._problem import Problem
from carobwalk.profiles._subject import Subject


@dataclass(frozen=True, slots=True)
class StaleRevision:
    """The subject was changed after the revision that a write is based on.

    Args:
        subject: Subject of the rejected write.
        base_revision: Revision that the rejected write is based on.
        current_revision: Revision that last changed the subject.
        changes: Changes of the subject after the base revision, as far as
            the head record still holds them.
    """

    subject: Subject
    base_revision: int
    current_revision: int
    changes: tuple[Change, ...]

    @property
    def detail(self) -> str:
        """Description of the failure."""
        return (
            f'{self.subject} was changed at revision {self.current_revision},'
            f' after revision {self.base_revision}'
        )

    @property
    def way_out(self) -> str:
        """Corrective action for the operator."""
        return 'read the subject again, and repeat the write on its revision'


@dataclass(frozen=True, slots=True)
class AlreadyExists:
    """A create request names a subject that already exists.

    Args:
        subject: The existing subject.
        revision: Revision that last changed it.
    """

    subject: Subject
    revision: int

    @property
    def detail(self) -> str:
        """Description of the failure."""
        return f'{self.subject} exists since revision {self.revision}'

    @property
    def way_out(self) -> str:
        """Corrective action for the operator."""
        return f'edit {self.subject}, or choose another name'


@dataclass(frozen=True, slots=True)
class NotFound:
    """The requested subject does not exist."""

    subject: Subject

    @property
    def detail(self) -> str:
        """Description of the failure."""
        return f'there is no {self.subject}'

    @property
    def way_out(self) -> str:
        """Corrective action for the operator."""
        return f'list the names of kind {self.subject.kind}, or create it'


@dataclass(frozen=True, slots=True)
class InUse:
    """A profile can't be deleted because it has dependents.

    Args:
        subject: The profile.
        services: Names of the services that run under it.
        children: Names of the profiles that inherit from it.
    """

    subject: Subject
    services: tuple[str, ...]
    children: tuple[str, ...]

    @property
    def detail(self) -> str:
        """Description of the failure."""
        return (
            f'{self.subject} has {len(self.services)} services'
            f' and {len(self.children)} children'
        )

    @property
    def way_out(self) -> str:
        """Corrective action for the operator."""
        return 'assign its services and children to another profile first'


@dataclass(frozen=True, slots=True)
class Invalid:
    """The write would result in an invalid configuration."""

    problems: tuple[Problem, ...]

    @property
    def detail(self) -> str:
        """Description of the failure."""
        return f'the configuration would have {len(self.problems)} problems'

    @property
    def way_out(self) -> str:
        """Corrective action for the operator."""
        return 'mend every listed problem and repeat the write'


@dataclass(frozen=True, slots=True)
class RevertsAnother:
    """The write reverts changes of other operators without declaring it.

    Args:
        changes: Changes that are reverted but not declared.
    """

    changes: tuple[Change, ...]

    @property
    def detail(self) -> str:
        """Description of the failure."""
        return f'it takes back {len(self.changes)} changes of others'

    @property
    def way_out(self) -> str:
        """Corrective action for the operator."""
        revisions = ', '.join(str(change.revision) for change in self.changes)
        return f'talk to the authors, or state reverting {revisions}'


@dataclass(frozen=True, slots=True)
class ConfigurationTooLarge:
    """The encoded head record would exceed its size limit.

    Args:
        size: Size of the encoded record in bytes.
        limit: Largest allowed size in bytes.
    """

    size: int
    limit: int

    @property
    def detail(self) -> str:
        """Description of the failure."""
        return f'{self.size} bytes are above the limit of {self.limit}'

    @property
    def way_out(self) -> str:
        """Corrective action for the operator."""
        return 'delete unused profiles or shorten fields'

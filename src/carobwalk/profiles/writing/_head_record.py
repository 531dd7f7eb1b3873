"""Head record of the configuration in the store."""

from dataclasses import dataclass, field

from carobwalk.profiles._change import Change
from carobwalk.profiles._configuration import Configuration
from carobwalk.profiles._invariants import require
from carobwalk.profiles._subject import Subject


@dataclass(frozen=True, slots=True)
class HeadRecord:
    """Current configuration and the latest entries of its history.

    Args:
        configuration: Current configuration.
        recent: Latest changes, oldest first, contiguous up to the
            configuration's revision.
    """

    configuration: Configuration = field(default_factory=Configuration)
    recent: tuple[Change, ...] = ()

    @property
    def revision(self) -> int:
        """Revision of the configuration."""
        return self.configuration.revision

    @property
    def first_recent(self) -> int:
        """Lowest revision whose change is still in the record."""
        return self.revision - len(self.recent) + 1

    def changes_of(self, subject: Subject, after: int) -> tuple[Change, ...]:
        """Return the recent changes of a subject above a revision."""
        return tuple(
            change
            for change in self.recent
            if change.subject == subject and change.revision > after
        )

    def find_write(self, write_id: str) -> Change | None:
        """Return the recent change of a write id, ``None`` if there is none."""
        for change in self.recent:
            if change.write_id == write_id:
                return change
        return None

    def check(self) -> None:
        """Check that the recent changes are contiguous up to the revision.

        Raises:
            InvariantError: If a change is missing or out of order.
        """
        revisions = [change.revision for change in self.recent]
        expected = list(range(self.first_recent, self.revision + 1))
        require(revisions == expected, 'recent changes have no gaps')

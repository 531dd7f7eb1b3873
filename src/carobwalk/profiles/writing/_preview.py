"""Results of writes and of dry runs."""

from dataclasses import dataclass

from carobwalk.profiles._change import Change
from carobwalk.profiles._configuration import Configuration
from carobwalk.profiles._effects import ServiceEffect


@dataclass(frozen=True, slots=True)
class Preview:
    """Result of a dry run of a proposal that would be accepted.

    Args:
        revision: Revision that would include the proposal.
        change: History entry; ``None`` if nothing would change.
        effects: Services whose resolved profile would change.
    """

    revision: int
    change: Change | None
    effects: tuple[ServiceEffect, ...]


@dataclass(frozen=True, slots=True)
class Acceptance:
    """Result of a proposal that was durably accepted.

    Args:
        revision: Revision that includes the proposal.
        change: History entry; ``None`` if nothing changed or the entry is no
            longer in the head record.
        repeated: Whether the write was a no-op, because an earlier call had
            made the change or nothing differed.
        configuration: Configuration after the write.
    """

    revision: int
    change: Change | None
    repeated: bool
    configuration: Configuration

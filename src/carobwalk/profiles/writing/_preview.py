"""What a write would do, or did."""

from dataclasses import dataclass

from carobwalk.profiles._change import Change
from carobwalk.profiles._configuration import Configuration
from carobwalk.profiles._effects import ServiceEffect


@dataclass(frozen=True, slots=True)
class Preview:
    """A proposal that would be accepted now.

    Args:
        revision: Revision at which it would be in the configuration.
        change: Entry of the history; ``None`` if nothing would change.
        effects: Services that would run differently.
    """

    revision: int
    change: Change | None
    effects: tuple[ServiceEffect, ...]


@dataclass(frozen=True, slots=True)
class Acceptance:
    """A proposal that is durably in the configuration.

    Args:
        revision: Revision at which it is.
        change: Entry of the history, if it is known.
        repeated: Whether an earlier call had already made the change, or
            nothing was left to change.
        configuration: Configuration as it stood after the write.
    """

    revision: int
    change: Change | None
    repeated: bool
    configuration: Configuration

"""Base of all events."""

from dataclasses import dataclass
from typing import ClassVar


@dataclass(frozen=True, slots=True)
class Event:
    """Something that happened in a process.

    Subclasses are frozen dataclasses. Their class name gives the event's
    name in the log, their fields its key=value pairs; a field that is
    ``None`` is left out. The names ``service``, ``key``, ``shard``,
    ``server`` and ``request`` are those that the time line filters by.
    """

    level: ClassVar[str] = 'info'

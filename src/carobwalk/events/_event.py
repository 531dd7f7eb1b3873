"""Base class of all events."""

from dataclasses import dataclass
from typing import ClassVar


@dataclass(frozen=True, slots=True)
class Event:
    """Something that happened in a process.

    Subclasses are frozen dataclasses. The class name is the name of the event
    in the log, and the fields are its key=value pairs; a field that is
    ``None`` is omitted. The time line can filter by the field names
    ``service``, ``key``, ``shard``, ``server`` and ``request``.
    """

    level: ClassVar[str] = 'info'

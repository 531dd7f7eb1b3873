"""Base of all events."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Event:
    """Something that happened in a process.

    Subclasses are frozen dataclasses. Their class name gives the event's
    name in the log, their fields its key=value pairs. The names ``service``,
    ``key``, ``shard``, ``server`` and ``request`` are those that the time
    line filters by.
    """

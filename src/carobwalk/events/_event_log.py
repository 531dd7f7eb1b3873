"""Contract of the log of events."""

from typing import Protocol

from carobwalk.events._event import Event


class EventLog(Protocol):
    """Takes events in the order in which they happen."""

    def emit(self, event: Event) -> None:
        """Write one event with the process id and the logical time."""


class NullEventLog:
    """Log that keeps nothing, for parts that run on their own."""

    def emit(self, event: Event) -> None:
        """Drop the event."""

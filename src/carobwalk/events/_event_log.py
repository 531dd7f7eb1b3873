"""Contract of event logs."""

from typing import Protocol

from carobwalk.events._event import Event


class EventLog(Protocol):
    """Receives events in the order in which they happen."""

    def emit(self, event: Event) -> None:
        """Write one event with the process id and the logical time."""


class NullEventLog:
    """Event log that discards events, for components used in isolation."""

    def emit(self, event: Event) -> None:
        """Discard the event."""

"""Event log of tests."""

from carobwalk.events import Event


class RecordingLog:
    """Event log that records the events."""

    def __init__(self) -> None:
        self.events: list[Event] = []

    def emit(self, event: Event) -> None:
        """Record an event."""
        self.events.append(event)

    def named(self, name: str) -> list[Event]:
        """Return the recorded events of a class."""
        return [event for event in self.events if type(event).__name__ == name]

"""Shutdown events of a process."""

from dataclasses import dataclass

from carobwalk.events import Event


@dataclass(frozen=True, slots=True)
class ProcessStopping(Event):
    """The process received a signal to stop.

    Args:
        cause: Name of the signal.
    """

    cause: str


@dataclass(frozen=True, slots=True)
class ProcessStopped(Event):
    """The process has shut down.

    Args:
        is_graceful: Whether every request in flight finished.
    """

    is_graceful: bool

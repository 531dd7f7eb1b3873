"""Events at the end of a process."""

from dataclasses import dataclass

from carobwalk.events import Event


@dataclass(frozen=True, slots=True)
class ProcessStopping(Event):
    """The process was asked to stop.

    Args:
        cause: Name of the signal.
    """

    cause: str


@dataclass(frozen=True, slots=True)
class ProcessStopped(Event):
    """The process was asked to stop and has stopped.

    Args:
        is_graceful: Whether every request in flight finished.
    """

    is_graceful: bool

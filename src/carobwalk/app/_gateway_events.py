"""Events of a process on the users' platform."""

from dataclasses import dataclass

from carobwalk.events import Event


@dataclass(frozen=True, slots=True)
class ProcessStarted(Event):
    """A process started.

    Args:
        callers: Address that callers are taken at.
    """

    callers: str


@dataclass(frozen=True, slots=True)
class ReadinessChanged(Event):
    """The answer to the balancer changed.

    Args:
        is_ready: Whether the process takes new callers.
    """

    is_ready: bool


@dataclass(frozen=True, slots=True)
class SettingsReloaded(Event):
    """The settings were read again.

    Args:
        is_valid: Whether they could be used; else the old ones stay.
        detail: What is in force, or what is wrong.
    """

    is_valid: bool
    detail: str

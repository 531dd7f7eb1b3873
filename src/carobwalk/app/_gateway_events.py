"""Lifecycle events of a gateway process."""

from dataclasses import dataclass

from carobwalk.events import Event


@dataclass(frozen=True, slots=True)
class ProcessStarted(Event):
    """A process started.

    Args:
        callers: Address of the listener for callers.
    """

    callers: str


@dataclass(frozen=True, slots=True)
class ReadinessChanged(Event):
    """The result of the readiness check changed.

    Args:
        is_ready: Whether the process accepts new callers.
    """

    is_ready: bool


@dataclass(frozen=True, slots=True)
class SettingsReloaded(Event):
    """The settings were read again.

    Args:
        is_valid: Whether the file is valid; if not, the previous settings
            stay in force.
        detail: Bounds in force, or the errors of the file.
    """

    is_valid: bool
    detail: str

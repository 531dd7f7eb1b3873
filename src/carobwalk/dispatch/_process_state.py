"""State that the dispatchers of one process share."""

from dataclasses import dataclass

from carobwalk.dispatch._presence import Presence
from carobwalk.dispatch._quarantine import Quarantine


@dataclass(frozen=True, slots=True)
class ProcessState:
    """State that the dispatchers of one process share.

    Args:
        quarantine: Suspects of the process.
        presence: Counts the requests of the process.
        complete_since: Begin of the time of which the process forgot no
            action, in seconds since 1970.
    """

    quarantine: Quarantine
    presence: Presence
    complete_since: float

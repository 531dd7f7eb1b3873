"""State shared by the dispatchers of one process."""

from dataclasses import dataclass

from carobwalk.dispatch._in_flight_counter import InFlightCounter
from carobwalk.dispatch._quarantine import Quarantine


@dataclass(frozen=True, slots=True)
class ProcessState:
    """State shared by the dispatchers of one process.

    Args:
        quarantine: Suspected requests of the process.
        in_flight: Counts the requests of the process.
        complete_since: Time since which the process has cached all its
            actions, in seconds since 1970.
    """

    quarantine: Quarantine
    in_flight: InFlightCounter
    complete_since: float

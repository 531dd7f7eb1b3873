"""Size, duration and faults of runs."""

from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Final

from soak._fault_registry import FaultSet


@dataclass(frozen=True, slots=True, kw_only=True)
class SoakPlan:
    """Size and duration of a run.

    Args:
        routers: Number of processes.
        seconds: Time during which faults start.
        faults: Number of faults.
        fault_set: Faults that are drawn.
        takeovers: Number of forced changes of the coordinator, in series; with
            some, the load is uneven and shifts.
        max_cut: Longest time in seconds from a takeover until its successor
            reaches all servers again.
        module: Module and arguments of a router, as after ``python -m``.
    """

    routers: int = 3
    seconds: float = 8
    faults: int = 12
    fault_set: FaultSet = FaultSet.GENERAL
    takeovers: int = 0
    max_cut: float = 3.5
    module: tuple[str, ...] = ('carobwalk.platform',)


PLANS_BY_NAME: Final[Mapping[str, SoakPlan]] = MappingProxyType(
    {
        'general': SoakPlan(),
        'ownership': SoakPlan(
            seconds=12, faults=8, fault_set=FaultSet.OWNERSHIP, takeovers=4
        ),
        # What servers say of themselves, beside the general faults.
        'notices': SoakPlan(seconds=14, faults=16, fault_set=FaultSet.NOTICES),
        # A store that comes back from an older copy of itself.
        'restores': SoakPlan(
            seconds=20, faults=10, fault_set=FaultSet.RESTORES
        ),
        # Cuts that outlast the grants of a successor, not of its predecessor.
        'long-cuts': SoakPlan(
            seconds=12,
            faults=2,
            fault_set=FaultSet.OWNERSHIP,
            takeovers=5,
            max_cut=8,
        ),
    }
)

"""Outcome of a step of the demo."""

from dataclasses import dataclass
from enum import StrEnum


class StepState(StrEnum):
    """State of a step after it was run."""

    DONE = 'done'
    FAILED = 'FAILED'
    MISSING = 'MISSING'


@dataclass(frozen=True, slots=True)
class StepOutcome:
    """Outcome of one step.

    Args:
        title: What the step shows.
        state: Whether the step succeeded.
        detail: Result of the step, or the texts of its errors.
        seconds: Duration of the step in seconds.
    """

    title: str
    state: StepState
    detail: str
    seconds: float

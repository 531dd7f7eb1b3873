"""How a step ended."""

from dataclasses import dataclass
from enum import StrEnum


class StepState(StrEnum):
    """Ends of a step."""

    DONE = 'done'
    FAILED = 'FAILED'
    MISSING = 'MISSING'


@dataclass(frozen=True, slots=True)
class StepOutcome:
    """How a step ended.

    Args:
        title: What the step shows.
        state: Its end.
        detail: What was seen.
        seconds: Time that it took.
    """

    title: str
    state: StepState
    detail: str
    seconds: float

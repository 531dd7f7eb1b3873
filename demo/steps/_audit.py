"""Consistency of caller observations with the run records of servers."""

from collections import Counter

from carobwalk.model import Rank
from demo._context import DemoContext
from demo._errors import StepFailedError
from demo._registry import step
from standins.load import audit


@step('what callers saw agrees with what the backend servers ran')
async def compare(context: DemoContext) -> str:
    """Check all observations of the demo against the run records.

    Raises:
        StepFailedError: If a guarantee was violated.
    """
    records = context.records()
    violations = audit(context.observations, records)
    if violations:
        kinds = Counter(str(violation.kind) for violation in violations)
        raise StepFailedError(f'{dict(kinds)}, first {violations[0]}')
    counts = {
        rank.value: dict(
            Counter(
                each.told for each in context.observations if each.rank is rank
            ),
        )
        for rank in Rank
    }
    return f'{counts}; {len(records)} runs on the servers, 0 broken promises'

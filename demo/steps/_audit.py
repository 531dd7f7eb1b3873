"""Callers against backend servers."""

from collections import Counter

from carobwalk.model import Rank
from demo._errors import StepFailedError
from demo._registry import step
from demo._scene import Scene
from standins.load import audit


@step('what callers saw agrees with what the backend servers ran')
async def compare(scene: Scene) -> str:
    """Look for broken promises over the whole demo."""
    records = scene.records()
    broken = audit(scene.observations, records)
    if broken:
        kinds = Counter(str(violation.kind) for violation in broken)
        raise StepFailedError(f'{dict(kinds)}, first {broken[0]}')
    told = {
        rank.value: dict(
            Counter(
                seen.told for seen in scene.observations if seen.rank is rank
            ),
        )
        for rank in Rank
    }
    return f'{told}; {len(records)} runs on the servers, 0 broken promises'

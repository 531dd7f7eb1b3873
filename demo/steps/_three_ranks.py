"""Requests of all ranks through different entries."""

import trio

from carobwalk.model import Rank
from demo._context import DemoContext
from demo._errors import StepFailedError
from demo._registry import step
from standins.load import Observation

_ROUNDS = 10
_DISPATCHER_WARM_UP_SECONDS = 2.5


@step('requests of all three ranks through different entries')
async def send_all_ranks(context: DemoContext) -> str:
    """Send requests of each rank through each entry in turn.

    Raises:
        StepFailedError: If a request was not answered completely or got
            the answer to another request.
    """
    # An action created before its dispatcher has been in office for a second
    # may repeat one that an earlier dispatcher sent, so its outcome is
    # reported as unknown.
    await trio.sleep(_DISPATCHER_WARM_UP_SECONDS)
    seen: list[Observation] = []
    for number in range(_ROUNDS):
        for fleet in context.fleets:
            entry = context.running_entry(fleet, number)
            services = fleet.deployment.services
            for rank, service in zip(Rank, services, strict=True):
                key = f'{service.name}-{number}'
                seen.append(
                    await context.send_request(entry, service.name, key, rank)
                )
    complete = [item for item in seen if item.told == 'complete']
    astray = [item for item in seen if item.is_astray]
    if astray or len(complete) < len(seen):
        raise StepFailedError(
            f'{len(complete)} of {len(seen)} complete, {len(astray)} astray: '
            f'{[item.error for item in seen if item.error][:3]}',
        )
    slowest = max(item.seconds for item in complete)
    return f'{len(seen)} of {len(seen)} complete, slowest {slowest:.3f} s'

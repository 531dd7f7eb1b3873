"""Graceful stop of an entry by SIGTERM."""

import trio

from demo._context import DemoContext
from demo._errors import StepFailedError
from demo._registry import step
from standins.load import Observation

_SERVICE = 'tien-do'
_WORK_MS = 800
_CALLERS = 8


@step('an entry is stopped by SIGTERM with requests in flight')
async def stop_entry(context: DemoContext) -> str:
    """Stop an entry while it has requests in flight, then restart it.

    Raises:
        StepFailedError: If the exit status is not 0 or a request was not
            answered completely.
    """
    fleet = context.dong_phuong
    entry = context.running_entry(fleet, 1)
    observations: list[Observation] = []
    exit_status: int | None = None
    async with trio.open_nursery() as nursery:
        for number in range(_CALLERS):
            nursery.start_soon(
                _send_lookup, context, entry.name, number, observations
            )
        await trio.sleep(_WORK_MS / 3000)
        exit_status = await context.processes.stop(entry.name)
    complete = sum(item.told == 'complete' for item in observations)
    await fleet.start_entry(entry.name)
    if exit_status != 0 or complete < _CALLERS:
        raise StepFailedError(
            f'exit status {exit_status}, {complete} of {_CALLERS} complete',
        )
    return f'exit status 0, {complete} of {_CALLERS} in flight complete'


async def _send_lookup(
    context: DemoContext,
    entry_name: str,
    number: int,
    observations: list[Observation],
) -> None:
    entry = context.dong_phuong.entries_by_name[entry_name]
    key = f'stop-{number}'
    observations.append(
        await context.send_request(entry, _SERVICE, key, work_ms=_WORK_MS)
    )

"""Loss of an owner during an outage of the store."""

import trio

from demo._context import DemoContext
from demo._errors import StepFailedError
from demo._registry import step
from standins.fleet import EntryProcess

_KEY = 'store-down'
_SERVICE = 'tien-do'
_SERVED_TIMEOUT_SECONDS = 15
_REQUESTS = 30
_REQUEST_INTERVAL_SECONDS = 0.1


@step('the store is down; requests go on, and an owner is lost meanwhile')
async def take_store_down(context: DemoContext) -> str:
    """Kill an owner a while after the store began to refuse all calls.

    The takeover is not guaranteed for an owner that is lost at the same
    instant as the store: its keys wait for the store or the host list.

    Raises:
        StepFailedError: If a request is refused or the killed owner answers.
    """
    fleet = context.dong_phuong
    platform = fleet.platform
    entry = context.running_entry(fleet)
    seen, _ = await context.wait_until_served(
        entry, _SERVICE, _KEY, _SERVED_TIMEOUT_SECONDS
    )
    owner = seen.server
    await platform.control(platform.store, 'PUT', 'faults', b'{"down":true}')
    try:
        # The owner is killed only after the coordinator and both holders of
        # a shard have agreed to work without the store.
        await _send_during_outage(context, entry)
        await context.processes.kill(owner)
        seen, outage = await context.wait_until_served(
            entry,
            _SERVICE,
            _KEY,
            _SERVED_TIMEOUT_SECONDS,
        )
    finally:
        await platform.control(platform.store, 'PUT', 'faults', b'{}')
        await fleet.servers.start_server(owner)
    if seen.server == owner:
        raise StepFailedError(f'{owner} answered although it was killed')
    return (
        f'{_REQUESTS} requests complete in the outage; '
        f'{owner} lost, served by {seen.server} after {outage:.2f} s'
    )


async def _send_during_outage(
    context: DemoContext, entry: EntryProcess
) -> None:
    for _ in range(_REQUESTS):
        seen = await context.send_request(entry, _SERVICE, _KEY)
        if seen.told != 'complete':
            raise StepFailedError(f'refused in the outage: {seen}')
        await trio.sleep(_REQUEST_INTERVAL_SECONDS)

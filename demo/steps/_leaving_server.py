"""Keys of a leaving server move to another server."""

import trio

from demo._context import DemoContext
from demo._errors import StepFailedError
from demo._registry import step

_KEY = 'moved'
_SERVICE = 'dat-hang'
_SERVED_TIMEOUT_SECONDS = 15
_LEAVE_TIMEOUT_SECONDS = 10
_LOOKUP_INTERVAL_SECONDS = 0.02


@step('a server is marked as leaving; its key moves without a refusal')
async def move_key(context: DemoContext) -> str:
    """Mark the owner of a key as leaving while lookups for it go on.

    Raises:
        StepFailedError: If the key does not move in time or a lookup is
            refused meanwhile.
    """
    fleet = context.dong_phuong
    entry = context.running_entry(fleet)
    seen, _ = await context.wait_until_served(
        entry, _SERVICE, _KEY, _SERVED_TIMEOUT_SECONDS
    )
    owner = seen.server
    platform = fleet.platform
    await platform.control(platform.host_list, 'POST', f'leaving/{owner}')
    started_at = trio.current_time()
    refused = 0
    while seen.server == owner or seen.told != 'complete':
        if trio.current_time() - started_at > _LEAVE_TIMEOUT_SECONDS:
            raise StepFailedError(
                f'{owner} still owns the key after {_LEAVE_TIMEOUT_SECONDS} s',
            )
        await trio.sleep(_LOOKUP_INTERVAL_SECONDS)
        seen = await context.send_request(entry, _SERVICE, _KEY)
        refused += seen.told != 'complete'
    move_seconds = trio.current_time() - started_at
    await platform.put_host(fleet.servers.hosts_by_name[owner])
    if refused:
        raise StepFailedError(f'{refused} requests were refused in the move')
    return f'{owner} left, {seen.server} serves after {move_seconds:.2f} s'

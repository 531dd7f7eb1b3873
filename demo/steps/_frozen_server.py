"""A server that is suspended past its grant and resumed."""

import signal

import trio

from carobwalk.model import Rank
from demo._context import DemoContext
from demo._errors import StepFailedError
from demo._registry import step
from standins.load import Observation

_KEY = 'frozen'
_SERVICE = 'claims-ledger'
_SERVED_TIMEOUT_SECONDS = 15
_WORK_MS = 1500


@step('a server freezes with a claim in its hands, and comes back')
async def freeze_server(context: DemoContext) -> str:
    """Suspend the owner of a key past its grant, then resume it.

    The resumed owner must neither answer nor commit the claim that it was
    running, since another server owns the key by then.

    Raises:
        StepFailedError: If the resumed owner answered or committed the claim.
    """
    entry = context.running_entry(context.caroni)
    seen, _ = await context.wait_until_served(
        entry, _SERVICE, _KEY, _SERVED_TIMEOUT_SECONDS
    )
    owner = seen.server
    claims: list[Observation] = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_send_claim, context, claims)
        await trio.sleep(_WORK_MS / 3000)
        context.processes.send(owner, signal.SIGSTOP)
        try:
            seen, outage = await context.wait_until_served(
                entry,
                _SERVICE,
                _KEY,
                _SERVED_TIMEOUT_SECONDS,
            )
        finally:
            context.processes.send(owner, signal.SIGCONT)
    effects = [
        record.server
        for record in context.records()
        if record.mark == claims[0].mark and record.committed_at is not None
    ]
    if seen.server == owner or owner in effects:
        raise StepFailedError(f'{owner} went on with a key that it had lost')
    return (
        f'{owner} frozen, served by {seen.server} after {outage:.2f} s; '
        f'the claim in its hands: {claims[0].told}, effects {len(effects)}'
    )


async def _send_claim(context: DemoContext, claims: list[Observation]) -> None:
    entry = context.running_entry(context.caroni, 1)
    claims.append(
        await context.send_request(entry, _SERVICE, _KEY, Rank.MONEY, _WORK_MS),
    )

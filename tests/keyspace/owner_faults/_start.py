"""Start of a fleet in the midst of faults."""

import trio

from carobwalk.model import ServerId
from tests.keyspace.owner_faults._start_faults import first_map_series
from tests.keyspace.owner_faults._target import (
    ROUTERS,
    SERVERS,
    FaultTarget,
    pause,
)


async def start_in_trouble(target: FaultTarget) -> None:
    """Start further processes, together or in turn, while writes fail.

    Some servers register late.
    """
    async with trio.open_nursery() as nursery:
        for number in range(SERVERS):
            if not target.generator.randrange(3):
                nursery.start_soon(_register_late, target, number)
        nursery.start_soon(first_map_series, target)
        longest_gap = target.generator.choice((0, 0.2, 2.5))
        for _ in range(ROUTERS - 1):
            await pause(target, 0, longest_gap)
            target.start_router()


async def _register_late(target: FaultTarget, number: int) -> None:
    server = ServerId(f's{number}')
    target.fleet.registry.remove(server)
    await pause(target, 0, 4)
    target.note(f'registers late {server}')
    born = target.fleet.book.holders_by_id[server].born
    target.fleet.register_server(number, born)

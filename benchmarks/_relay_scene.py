"""Ways to one backend server: direct, by a bare proxy, by the product."""

from collections import Counter
from collections.abc import Mapping
from pathlib import Path

import trio

from benchmarks._process_facts import count_connections
from benchmarks._raw_caller import run_closed_loop, run_paced
from benchmarks._single_service import SERVER, SERVICE, make_fleet
from carobwalk.model import Address, CarobwalkError
from standins.processes import Processes, find_free_addresses

READY_SECONDS = 30
PROXY = 'bare-proxy'
_PAUSE_SECONDS = 0.2
_PROBE_SECONDS = 4.0
_CALLERS = 8


class NotReadyError(CarobwalkError):
    """The entries do not serve in time."""


class Ways:
    """Addresses to send to, and the processes behind them.

    Args:
        addresses_by_way: Address of each way.
        dispatcher: Name of the entry that holds the connections.
        other: Name of the other entry.
    """

    DIRECT = 'direct'
    BARE = 'bare-proxy'
    SAME = 'same-process'
    TWO = 'two-processes'

    def __init__(
        self,
        addresses_by_way: Mapping[str, Address],
        dispatcher: str,
        other: str,
    ) -> None:
        self.addresses_by_way = addresses_by_way
        self.dispatcher = dispatcher
        self.other = other

    def target(self, way: str, path: str) -> str:
        """Return the request target for a path below the service."""
        is_product = way in {self.SAME, self.TWO}
        return f'/{SERVICE}{path}' if is_product else path


async def open_ways(
    processes: Processes,
    directory: Path,
    server_module: tuple[str, ...] = ('standins', 'server'),
) -> Ways:
    """Start all processes and find out which entry dispatches.

    Args:
        processes: Owner of the processes.
        directory: Directory of their files.
        server_module: Module that runs the backend server, and its command.

    Raises:
        NotReadyError: If the entries do not serve, or not just one dispatches.
    """
    fleet = make_fleet(processes, directory, server_module)
    await fleet.start()
    await fleet.start_entries()
    server = fleet.servers.address(SERVER)
    proxy = find_free_addresses(1)[0]
    arguments = ('benchmarks._bare_proxy', str(proxy), str(server))
    await processes.start(PROXY, arguments, proxy)
    callers_by_name = {
        name: entry.callers for name, entry in fleet.entries_by_name.items()
    }
    for address in callers_by_name.values():
        await _wait_served(address)
    dispatcher = await _find_dispatcher(processes, callers_by_name, server)
    others = [name for name in callers_by_name if name != dispatcher]
    return Ways(
        {
            Ways.DIRECT: server,
            Ways.BARE: proxy,
            Ways.SAME: callers_by_name[dispatcher],
            Ways.TWO: callers_by_name[others[0]],
        },
        dispatcher,
        others[0],
    )


async def _wait_served(address: Address) -> None:
    with trio.move_on_after(READY_SECONDS):
        while not await _is_served(address):
            await trio.sleep(_PAUSE_SECONDS)
        return
    raise NotReadyError(f'{address} does not serve')


async def _is_served(address: Address) -> bool:
    timings = await run_paced(address, f'/{SERVICE}/cases/a', 1, 1)
    return not timings.failed


async def _find_dispatcher(
    processes: Processes,
    callers_by_name: Mapping[str, Address],
    server: Address,
) -> str:
    """Return the entry whose connections carry requests to the server."""
    counts: Counter[str] = Counter()
    async with trio.open_nursery() as nursery:
        for address in callers_by_name.values():
            nursery.start_soon(
                run_closed_loop,
                address,
                f'/{SERVICE}/cases/a',
                _CALLERS,
                _PROBE_SECONDS,
            )
        await trio.sleep(_PROBE_SECONDS - 1)
        for name in callers_by_name:
            counts[name] = count_connections(processes.pid(name), server.port)
    dispatcher, count = counts.most_common(1)[0]
    if count <= min(counts.values()) + 1:
        raise NotReadyError(f'no entry dispatches: {counts}')
    return dispatcher

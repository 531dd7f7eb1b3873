"""Routes to one backend server: direct, through a bare proxy or the product."""

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
_RETRY_INTERVAL_SECONDS = 0.2
_PROBE_SECONDS = 4.0
_CALLERS = 8


class NotReadyError(CarobwalkError):
    """The entries are not ready before the timeout."""


class Routes:
    """Addresses of the routes to measure, and names of the entries.

    Args:
        addresses_by_route: Address that receives the requests of each route.
        dispatcher: Name of the entry that dispatches to the backend server.
        other: Name of the entry that forwards to the dispatcher.
    """

    DIRECT = 'direct'
    BARE_PROXY = 'bare-proxy'
    SAME_PROCESS = 'same-process'
    TWO_PROCESSES = 'two-processes'

    def __init__(
        self,
        addresses_by_route: Mapping[str, Address],
        dispatcher: str,
        other: str,
    ) -> None:
        self.addresses_by_route = addresses_by_route
        self.dispatcher = dispatcher
        self.other = other

    def target(self, route: str, path: str) -> str:
        """Return the request target of a path on a route.

        Only the product expects the name of the service in front of the path.
        """
        is_product = route in {self.SAME_PROCESS, self.TWO_PROCESSES}
        return f'/{SERVICE}{path}' if is_product else path


async def open_routes(
    processes: Processes,
    directory: Path,
    server_module: tuple[str, ...] = ('standins', 'server'),
) -> Routes:
    """Start all processes and determine which entry dispatches.

    Args:
        processes: Starts and stops the processes.
        directory: Directory of the files of the processes.
        server_module: Module that runs the backend server, and its command.

    Raises:
        NotReadyError: If an entry does not serve before the timeout, or if
            it is not clear which entry dispatches.
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
        await _wait_until_served(address)
    dispatcher = await _find_dispatcher(processes, callers_by_name, server)
    others = [name for name in callers_by_name if name != dispatcher]
    return Routes(
        {
            Routes.DIRECT: server,
            Routes.BARE_PROXY: proxy,
            Routes.SAME_PROCESS: callers_by_name[dispatcher],
            Routes.TWO_PROCESSES: callers_by_name[others[0]],
        },
        dispatcher,
        others[0],
    )


async def _wait_until_served(address: Address) -> None:
    with trio.move_on_after(READY_SECONDS):
        while not await _is_served(address):
            await trio.sleep(_RETRY_INTERVAL_SECONDS)
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
    """Return the name of the entry with most connections to the server."""
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

"""Memory of two entries while large bodies are streamed through them."""

import json
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path

import trio

from benchmarks._process_facts import resident_kilobytes
from benchmarks._relay_routes import PROXY, Routes, open_routes
from benchmarks._transfer import Transfer, download, upload
from standins.processes import Processes

BODY_BYTES = 500_000_000
WARM_UP_BYTES = 1_000_000
SAMPLE_INTERVAL_SECONDS = 0.02
MAX_GROWTH_KILOBYTES = 32_768

_TARGET = '/bundles/long'
_MEGABYTE = 1_000_000

TransferFunction = Callable[[int], Awaitable[Transfer]]


def main(seed: int) -> int:
    """Upload and download through two entries and print the figures as JSON.

    Args:
        seed: Not used, since nothing is random.

    Returns:
        0 if the target is met, 1 if not.
    """
    with tempfile.TemporaryDirectory() as directory:
        report = trio.run(_measure, Path(directory))
    print(json.dumps({'seed': seed, **report}))
    return 0 if report['ok'] else 1


async def _measure(directory: Path) -> dict[str, object]:
    async with Processes(directory) as processes:
        routes = await open_routes(processes, directory)
        product = (routes.dispatcher, routes.other)
        baseline = await _measure_route(
            processes, routes, Routes.BARE_PROXY, (PROXY,)
        )
        measured = await _measure_route(
            processes, routes, Routes.TWO_PROCESSES, product
        )
    growth = max(measured[f'growth_kb_{name}'] for name in product)
    is_equal = measured['upload_equal'] and measured['download_equal']
    return {
        'baseline': baseline,
        'product': measured,
        'target': {'growth_kb': MAX_GROWTH_KILOBYTES, 'equal': True},
        'ok': bool(is_equal and growth < MAX_GROWTH_KILOBYTES),
    }


async def _measure_route(
    processes: Processes,
    routes: Routes,
    route: str,
    watched: tuple[str, ...],
) -> dict[str, float]:
    address = routes.addresses_by_route[route]
    target = routes.target(route, _TARGET)
    pids_by_name = {name: processes.pid(name) for name in watched}
    for transfer in (upload, download):
        await transfer(address, target, WARM_UP_BYTES)
    before = {
        name: resident_kilobytes(pid) for name, pid in pids_by_name.items()
    }
    highest = dict(before)
    figures: dict[str, float] = {}
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_track_highest, pids_by_name, highest)
        for name, transfer in (('upload', upload), ('download', download)):
            result = await transfer(address, target, BODY_BYTES)
            figures[f'{name}_equal'] = result.is_equal
            rate = BODY_BYTES / result.seconds / _MEGABYTE
            figures[f'{name}_mb_per_second'] = round(rate, 1)
        nursery.cancel_scope.cancel()
    for name in watched:
        figures[f'growth_kb_{name}'] = highest[name] - before[name]
    return figures


async def _track_highest(
    pids_by_name: dict[str, int], highest: dict[str, int]
) -> None:
    while True:
        for name, pid in pids_by_name.items():
            highest[name] = max(highest[name], resident_kilobytes(pid))
        await trio.sleep(SAMPLE_INTERVAL_SECONDS)

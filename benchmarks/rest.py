"""Cost of idle processes: CPU, memory, control traffic and store calls."""

import json
import re
import tempfile
from dataclasses import asdict, dataclass
from pathlib import Path

import trio

from benchmarks._process_facts import resident_kilobytes
from carobwalk.http import HttpClient, HttpRequest
from carobwalk.model import DataCentreName, RegionName, ServiceName
from standins.fleet import Deployment, EntryProcess, Fleet, FleetService
from standins.processes import Processes, find_free_addresses

MAX_CPU_SHARE = 0.023
MAX_BYTES_PER_SECOND = 30_000
MAX_MEMORY_BYTES = 32_000_000

_SETTLE_SECONDS = 8.0
_MEASURED_SECONDS = 10.0
_TIMEOUT_SECONDS = 5.0
_PROXY = 'bare-proxy'
_KIBIBYTE = 1024
_SIZES = ((3, 4), (3, 16), (9, 4))
_DATA_CENTRES = (DataCentreName('a'), DataCentreName('b'))
_METRIC_LINE = re.compile(r'^(carobwalk_\w+)(?:\{(.*)\})? (\S+)$', re.MULTILINE)


@dataclass(frozen=True, slots=True)
class Sample:
    """Totals over all entries at one time."""

    cpu_seconds: float
    peer_bytes: float
    memory_bytes: float
    store_calls: float


@dataclass(frozen=True, slots=True)
class Cost:
    """Mean cost of one idle entry of a fleet.

    Args:
        entries: Number of entry processes.
        servers: Number of backend servers.
        cpu_share: CPU time as a share of one core.
        bytes_per_second: Bytes sent to other processes per second.
        memory_bytes: Resident set size.
        store_calls_per_second: Calls to the store by the whole fleet.
    """

    entries: int
    servers: int
    cpu_share: float
    bytes_per_second: float
    memory_bytes: float
    store_calls_per_second: float


def main(seed: int) -> int:
    """Measure idle fleets of several sizes and print the figures as JSON.

    Args:
        seed: Not used, since nothing in an idle fleet is random.

    Returns:
        0 if the entries of the costliest fleet are within the budget of a
        node, 1 if not.
    """
    costs = [trio.run(_measure, *size) for size in _SIZES]
    worst = max(costs, key=lambda cost: cost.cpu_share)
    is_met = (
        worst.cpu_share <= MAX_CPU_SHARE
        and worst.bytes_per_second <= MAX_BYTES_PER_SECOND
        and worst.memory_bytes <= MAX_MEMORY_BYTES
    )
    report = {
        'seed': seed,
        'baseline': {'memory_bytes': trio.run(_measure_bare_proxy)},
        'product': [asdict(cost) for cost in costs],
        'target': {
            'cpu_share': MAX_CPU_SHARE,
            'bytes_per_second': MAX_BYTES_PER_SECOND,
            'memory_bytes': MAX_MEMORY_BYTES,
        },
        'ok': is_met,
    }
    print(json.dumps(report))
    return 0 if is_met else 1


async def _measure_bare_proxy() -> int:
    """Return the resident set size of the bare proxy in bytes."""
    listen, target = find_free_addresses(2)
    with tempfile.TemporaryDirectory() as directory:
        async with Processes(Path(directory)) as processes:
            arguments = ('benchmarks._bare_proxy', str(listen), str(target))
            await processes.start(_PROXY, arguments, listen)
            return resident_kilobytes(processes.pid(_PROXY)) * _KIBIBYTE


async def _measure(entries: int, servers: int) -> Cost:
    with tempfile.TemporaryDirectory() as directory:
        async with Processes(Path(directory)) as processes:
            fleet = Fleet(
                processes,
                _make_deployment(entries, servers),
                Path(directory),
            )
            await fleet.start()
            await fleet.start_entries()
            await trio.sleep(_SETTLE_SECONDS)
            first = await _take_sample(fleet)
            started_at = trio.current_time()
            await trio.sleep(_MEASURED_SECONDS)
            last = await _take_sample(fleet)
            seconds = trio.current_time() - started_at
    return Cost(
        entries=entries,
        servers=servers,
        cpu_share=(last.cpu_seconds - first.cpu_seconds) / seconds / entries,
        bytes_per_second=(last.peer_bytes - first.peer_bytes)
        / seconds
        / entries,
        memory_bytes=last.memory_bytes / entries,
        store_calls_per_second=(last.store_calls - first.store_calls) / seconds,
    )


def _make_deployment(entries: int, servers: int) -> Deployment:
    region = RegionName('r')
    return Deployment(
        name='rest',
        regions=dict.fromkeys(_DATA_CENTRES, region),
        services=(
            FleetService(
                name=ServiceName('case-registry'),
                profile='keyed',
                keyed=True,
                data_centres=_alternate_data_centres(servers),
            ),
        ),
        entries=_alternate_data_centres(entries),
    )


def _alternate_data_centres(count: int) -> tuple[DataCentreName, ...]:
    return tuple(
        _DATA_CENTRES[number % len(_DATA_CENTRES)] for number in range(count)
    )


async def _take_sample(fleet: Fleet) -> Sample:
    http = HttpClient()
    totals: dict[str, float] = {}
    for entry in fleet.entries_by_name.values():
        for name, amount in await _read_metrics(http, entry):
            totals[name] = totals.get(name, 0) + amount
    return Sample(
        cpu_seconds=_sum_matching(totals, 'cpu'),
        peer_bytes=_sum_matching(totals, 'direction="sent"'),
        memory_bytes=_sum_matching(totals, 'resident'),
        store_calls=_sum_matching(totals, 'store_calls'),
    )


async def _read_metrics(
    http: HttpClient,
    entry: EntryProcess,
) -> list[tuple[str, float]]:
    request = HttpRequest('GET', '/metrics')
    answer = await http.send(entry.administration, request, _TIMEOUT_SECONDS)
    text = answer.unwrap().body.decode()
    return [
        (f'{name}|{labels}', float(amount))
        for name, labels, amount in _METRIC_LINE.findall(text)
    ]


def _sum_matching(totals: dict[str, float], part: str) -> float:
    return sum(amount for name, amount in totals.items() if part in name)

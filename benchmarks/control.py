"""Control traffic, CPU time and store calls by the size of the fleet."""

import json
import time
from dataclasses import dataclass
from typing import Any, Final

import trio
from trio.testing import MockClock

from standins.fake_fleet import FakeFleet
from standins.fake_fleet_shape import FleetShape

MEASURED_SECONDS: Final = 3
SETTLE_SECONDS: Final = 4
LARGE_NODES: Final = 740
# Cost per node of all-to-all heartbeats among 740 nodes.
TARGET_BYTES_PER_NODE: Final = 30_000
HEARTBEAT_BYTES: Final = 40
HEARTBEATS_PER_SECOND: Final = 1
FLEET_SIZES: Final = (
    (2, 2, 16),
    (4, 2, 16),
    (8, 2, 16),
    (12, 2, 16),
    (2, 4, 16),
    (2, 8, 16),
    (2, 12, 16),
    (2, 4, 32),
    (2, 4, 64),
)


@dataclass(frozen=True, slots=True)
class Load:
    """Control load of one fleet, per second of virtual time.

    Args:
        processes: Number of processes of the product.
        servers: Number of backend servers.
        shards: Number of shards.
        messages: Messages sent by all processes.
        sent_bytes: Bytes sent by all processes, without framing.
        store_calls: Calls to the store by all processes.
        cpu: CPU time of all processes, in seconds.
    """

    processes: int
    servers: int
    shards: int
    messages: float
    sent_bytes: float
    store_calls: float
    cpu: float


async def _measure(shape: FleetShape) -> Load:
    async with trio.open_nursery() as nursery:
        fleet = FakeFleet(nursery, shape)
        fleet.start()
        await fleet.wait_until_served()
        await trio.sleep(SETTLE_SECONDS)
        before = _read_totals(fleet)
        cpu = time.process_time()
        await trio.sleep(MEASURED_SECONDS)
        cpu = time.process_time() - cpu
        after = _read_totals(fleet)
        nursery.cancel_scope.cancel()
    rates = [
        (new - old) / MEASURED_SECONDS
        for new, old in zip(after, before, strict=True)
    ]
    return Load(
        processes=len(fleet.processes),
        servers=len(fleet.servers),
        shards=shape.shard_count,
        messages=rates[0],
        sent_bytes=rates[1],
        store_calls=rates[2],
        cpu=cpu / MEASURED_SECONDS,
    )


def _read_totals(fleet: FakeFleet) -> tuple[int, int, int]:
    processes = fleet.processes.values()
    counts = [process.store.client.counts for process in processes]
    return (
        sum(process.sent_messages for process in processes),
        sum(process.sent_bytes for process in processes),
        sum(count.reads + count.writes + count.watches for count in counts),
    )


def _slope(few: Load, many: Load, size: str) -> dict[str, float]:
    """Return the cost of one more unit of a size, per second."""
    added = getattr(many, size) - getattr(few, size)
    return {
        name: round((getattr(many, name) - getattr(few, name)) / added, 5)
        for name in ('messages', 'sent_bytes', 'store_calls', 'cpu')
    }


def run(seed: int) -> dict[str, Any]:
    """Return the loads of all fleet sizes, and the cost of further units.

    Args:
        seed: Seed of the simulated network.
    """
    loads = [
        trio.run(
            _measure,
            FleetShape(
                entries=entries,
                servers=servers,
                shards_per_server=shards,
                seed=seed,
            ),
            clock=MockClock(autojump_threshold=0),
        )
        for entries, servers, shards in FLEET_SIZES
    ]
    by_process = _slope(loads[0], loads[3], 'processes')
    naive = LARGE_NODES * HEARTBEAT_BYTES * HEARTBEATS_PER_SECOND
    return {
        'benchmark': 'control',
        'seed': seed,
        'target_bytes_per_node': TARGET_BYTES_PER_NODE,
        'bytes_per_further_process': by_process['sent_bytes'],
        'naive_all_to_all_bytes_per_node': naive,
        'slope_by_process': by_process,
        'slope_by_server': _slope(loads[0], loads[6], 'servers'),
        'slope_by_shard': _slope(loads[4], loads[8], 'shards'),
        'loads': [
            {name: getattr(load, name) for name in Load.__dataclass_fields__}
            for load in loads
        ],
        'ok': by_process['sent_bytes'] <= TARGET_BYTES_PER_NODE,
    }


def main(seed: int) -> int:
    """Print the figures as JSON and return the exit code."""
    figures = run(seed)
    print(json.dumps(figures))
    return 0 if figures['ok'] else 1

"""Keys of servers that say in their answers that they leave or are limited.

Guards against a coordinator that waits for the registry: callers of a leaving
owner were refused, and a limited owner kept keys that others could have served.
"""

import msgspec
import trio
from trio.testing import MockClock

from carobwalk.keyspace._load_report import (
    LoadReport,
    ServerAnswers,
    ServiceLoad,
)
from carobwalk.model import ProcessId
from tests.keyspace.simulated_fleet import SERVICE, Router, SimulatedFleet

KEYS = 65_536
LOADED_KEYS = 25
REQUESTS_PER_KEY = 1
LIMIT = 5
LIMITED = 1
# The limit as a share of the load, and half as much again.
MAX_LIMITED_SHARE = 0.15
MIN_OWNED_SHARE = 0.95


async def _report(router: Router, report: LoadReport) -> None:
    """Send a load report every 0.25 s for 6 s."""
    for _ in range(24):
        await router.collector.answer(
            ProcessId('b'), msgspec.msgpack.encode(report)
        )
        await trio.sleep(0.25)


def _shares_by_server(fleet: SimulatedFleet) -> dict[str, float]:
    """Return the share of the keys that each server holds."""
    shares: dict[str, float] = {}
    for key in range(0, KEYS, 64):
        owner = fleet.book.owner(key)
        if owner is not None:
            shares[owner] = shares.get(owner, 0) + 64 / KEYS
    return shares


class TestAnnouncedServers:
    def test_leaving(self, virtual_clock: MockClock) -> None:
        """The keys of a server that says that it leaves move to others."""

        async def body() -> None:
            fleet = SimulatedFleet(4)
            async with trio.open_nursery() as nursery:
                fleet.start(nursery)
                router = fleet.add_router('a')
                await fleet.wait_until_owned()
                assert 's1' in _shares_by_server(fleet)
                await _report(router, LoadReport((), leaving=(('s1', 1),)))
                assert 's1' not in _shares_by_server(fleet)
                nursery.cancel_scope.cancel()

        trio.run(body, clock=virtual_clock)

    def test_limit(self, virtual_clock: MockClock) -> None:
        """A server that names a limit keeps only the load that it accepts."""

        async def body() -> None:
            fleet = SimulatedFleet(4)
            async with trio.open_nursery() as nursery:
                fleet.start(nursery)
                router = fleet.add_router('a')
                await fleet.wait_until_owned()
                await trio.sleep(3)
                counts = tuple(
                    (key, REQUESTS_PER_KEY)
                    for key in range(0, KEYS, KEYS // LOADED_KEYS)
                )
                rows = tuple(
                    ServerAnswers(
                        f's{number}',
                        1,
                        6,
                        0,
                        0.6,
                        LIMIT if number == LIMITED else None,
                    )
                    for number in range(4)
                )
                load = ServiceLoad(SERVICE, counts, rows)
                await _report(router, LoadReport((load,)))
                shares = _shares_by_server(fleet)
                assert shares.get('s1', 0) < MAX_LIMITED_SHARE
                assert sum(shares.values()) > MIN_OWNED_SHARE
                nursery.cancel_scope.cancel()

        trio.run(body, clock=virtual_clock)

"""Run in which some servers fail while they seem healthy."""

from collections.abc import Callable, Sequence
from functools import partial
from random import Random

import trio

from benchmarks._choosing_forwarder import ChoosingForwarder
from benchmarks._dispatch_fleet import fleet_traffic
from benchmarks._dispatch_naive import NaiveForwarder
from benchmarks._dispatch_run import (
    Playback,
    Record,
    latency_percentile,
    make_placement,
    make_pool,
    round_figures,
)
from benchmarks._dispatch_server import FakeServer
from benchmarks._dispatch_traffic import Arrival
from carobwalk.model import (
    Forwarder,
    Placement,
    Rank,
)

SERVERS = 6
_LOAD = 0.5
_FAULT_SPAN_SECONDS = (10.0, 30.0)
END_SECONDS = 40.0
_P99_PERCENT = 99
_POLL_SECONDS = 0.05


class GrayFailure:
    """Run in which some servers fail while they seem healthy.

    Args:
        seed: Seed of the arrivals.
        faulty: Number of servers that fail.
    """

    def __init__(self, seed: int, faulty: int = 1) -> None:
        self._arrivals = fleet_traffic(
            Random(seed), SERVERS, _LOAD, END_SECONDS
        )
        self._servers = [
            FakeServer(name=f'server-{number}', started_at=-END_SECONDS)
            for number in range(SERVERS)
        ]
        self._faulty = self._servers[:faulty]
        self._placements = [make_placement(server) for server in self._servers]
        self._detections: list[float] = []
        self._most_ejected = 0

    async def run_naive(
        self,
        inject_fault: Callable[[FakeServer], None],
    ) -> dict[str, float]:
        """Send requests in turn to the servers that report to be healthy.

        Returns:
            Share of answered requests and latency during the fault.
        """
        servers_by_name = {server.name: server for server in self._servers}
        forwarder = NaiveForwarder(
            lambda placement: servers_by_name[placement.server.name],
        )
        choose_placement = partial(
            _choose_healthy, self._servers, self._placements
        )
        records = await self._replay_arrivals(
            forwarder, choose_placement, inject_fault
        )
        return round_figures(self._summarise(records))

    async def run_unkeyed(
        self,
        inject_fault: Callable[[FakeServer], None],
    ) -> dict[str, float]:
        """Let the chooser select a server for each request.

        Returns:
            Share of answered requests and latency during the fault, time to
            detection and the largest number of servers ejected at once.
        """
        pool = make_pool(self._servers)
        forwarder = ChoosingForwarder(pool, self._placements)
        async with trio.open_nursery() as nursery:
            ejected = partial(pool.chooser.ejected, self._placements)
            nursery.start_soon(self._watch_suspected, ejected)
            records = await self._replay_arrivals(
                forwarder, self._owner_placement, inject_fault
            )
            nursery.cancel_scope.cancel()
        return round_figures(
            {
                **self._summarise(records),
                **self._first_detection(),
                'most_ejected': self._most_ejected,
            },
        )

    async def run_keyed(
        self,
        inject_fault: Callable[[FakeServer], None],
    ) -> dict[str, float]:
        """Send each request only to the owner of its key.

        Returns:
            Share of answered requests and latency of the healthy owners, and
            the time to detection.
        """
        pool = make_pool(self._servers)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_suspected, lambda: pool.suspected)
            records = await self._replay_arrivals(
                pool, self._owner_placement, inject_fault
            )
            nursery.cancel_scope.cancel()
        others = [
            record
            for record in records
            if self._owner_placement(record.arrival).server.name != 'server-0'
        ]
        return round_figures(
            {
                'others_answered': _answered_share(others),
                'others_lookup_p99_s': latency_percentile(
                    others,
                    Rank.LOOKUP,
                    _FAULT_SPAN_SECONDS,
                    _P99_PERCENT,
                ),
                **self._first_detection(),
            },
        )

    async def _replay_arrivals(
        self,
        forwarder: Forwarder,
        choose_placement: Callable[[Arrival], Placement],
        inject_fault: Callable[[FakeServer], None],
    ) -> list[Record]:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._inject_faults, inject_fault)
            return await Playback(forwarder, choose_placement).run(
                self._arrivals
            )

    async def _inject_faults(
        self, inject_fault: Callable[[FakeServer], None]
    ) -> None:
        await trio.sleep_until(_FAULT_SPAN_SECONDS[0])
        for server in self._faulty:
            inject_fault(server)
        await trio.sleep_until(_FAULT_SPAN_SECONDS[1])
        for recovered in self._faulty:
            recovered.factor = 1
            recovered.thaw()

    async def _watch_suspected(
        self, suspected: Callable[[], frozenset[str]]
    ) -> None:
        await trio.sleep_until(_FAULT_SPAN_SECONDS[0])
        while True:
            await trio.sleep(_POLL_SECONDS)
            found = suspected()
            self._most_ejected = max(self._most_ejected, len(found))
            if 'server-0' in found:
                self._detections.append(
                    trio.current_time() - _FAULT_SPAN_SECONDS[0]
                )

    def _summarise(self, records: list[Record]) -> dict[str, float]:
        return {
            'answered': _answered_share(records),
            'lookup_p99_s': latency_percentile(
                records, Rank.LOOKUP, _FAULT_SPAN_SECONDS, _P99_PERCENT
            ),
        }

    def _first_detection(self) -> dict[str, float]:
        if self._detections:
            return {'detected_after_s': self._detections[0]}
        return {}

    def _owner_placement(self, arrival: Arrival) -> Placement:
        return self._placements[arrival.number % SERVERS]


def _choose_healthy(
    servers: Sequence[FakeServer],
    placements: Sequence[Placement],
    arrival: Arrival,
) -> Placement:
    """Return the placements of healthy servers in turn, by health endpoint."""
    healthy = [
        placement
        for placement, server in zip(placements, servers, strict=True)
        if server.health_answer
    ]
    return healthy[arrival.number % len(healthy)]


def _answered_share(records: Sequence[Record]) -> float:
    start, end = _FAULT_SPAN_SECONDS
    within = [each for each in records if start <= each.arrival.at < end]
    return sum(each.failure is None for each in within) / len(within)

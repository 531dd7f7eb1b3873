"""What the steps of the demo share."""

import itertools
import time
from dataclasses import dataclass, field
from pathlib import Path
from types import MappingProxyType

import trio

from carobwalk.model import Rank, ServiceName
from demo._errors import StepFailedError
from standins.backend import RunRecord
from standins.fleet import EntryProcess, Fleet
from standins.load import (
    Callers,
    LoadTask,
    Observation,
    make_idempotency_key,
)
from standins.processes import Processes

_TIMEOUT_SECONDS = 5
_PAUSE_SECONDS = 0.03
_METHODS = MappingProxyType(
    {Rank.LOOKUP: 'GET', Rank.MONEY: 'POST', Rank.BULK: 'PUT'},
)


@dataclass(slots=True)
class Scene:
    """Running processes and what callers saw so far.

    Args:
        processes: Owner of all processes.
        caroni: Deployment of Caroni Filings.
        dong_phuong: Deployment of Dong Phuong Coachworks.
        directory: Directory of logs, settings and run records.
        observations: What all callers saw.
    """

    processes: Processes
    caroni: Fleet
    dong_phuong: Fleet
    directory: Path
    observations: list[Observation] = field(default_factory=list)
    callers: Callers = field(default_factory=lambda: Callers(_TIMEOUT_SECONDS))
    numbers: 'itertools.count[int]' = field(default_factory=itertools.count)

    @property
    def fleets(self) -> tuple[Fleet, Fleet]:
        """Both deployments."""
        return (self.caroni, self.dong_phuong)

    def records(self) -> tuple[RunRecord, ...]:
        """Return what the backend servers of both deployments ran."""
        caroni = self.caroni.servers.records()
        return (*caroni, *self.dong_phuong.servers.records())

    def live_entries(self, fleet: Fleet) -> tuple[EntryProcess, ...]:
        """Return the entries that run."""
        return tuple(
            entry
            for entry in fleet.entries_by_name.values()
            if self.processes.is_running(entry.name)
        )

    def live_entry(self, fleet: Fleet, place: int = 0) -> EntryProcess:
        """Return one of the entries that run.

        Raises:
            StepFailedError: If none runs.
        """
        live = self.live_entries(fleet)
        if not live:
            raise StepFailedError('no entry runs')
        return live[place % len(live)]

    async def ask(
        self,
        entry: EntryProcess,
        service: str,
        key: str,
        rank: Rank = Rank.LOOKUP,
        work_ms: int = 0,
    ) -> Observation:
        """Send one request and note what its caller saw."""
        mark = f'demo-{next(self.numbers)}'
        action = make_idempotency_key(mark, time.time_ns())
        task = LoadTask(
            entry=entry.callers,
            service=ServiceName(service),
            rank=rank,
            method=_METHODS[rank],
            key=key,
            mark=mark,
            idempotency_key=action if rank is Rank.MONEY else None,
            body_bytes=0 if rank is Rank.LOOKUP else 100,
            work_ms=work_ms,
        )
        seen = await self.callers.send(task)
        self.observations.append(seen)
        return seen

    async def wait_served(
        self,
        entry: EntryProcess,
        service: str,
        key: str,
        seconds: float,
    ) -> tuple[Observation, float]:
        """Ask for a key until it is served.

        Returns:
            The first complete answer and the time until it came, in seconds.

        Raises:
            StepFailedError: If it is not served in time.
        """
        began = trio.current_time()
        served: list[Observation] = []
        async with trio.open_nursery() as nursery:
            while not served:
                if trio.current_time() - began > seconds:
                    raise StepFailedError(
                        f'{service}/{key} is not served after {seconds:.0f} s: '
                        f'{self.observations[-1]}',
                    )
                # A probe may be held up, so that the next one overtakes it.
                nursery.start_soon(self._probe, entry, service, key, served)
                await trio.sleep(_PAUSE_SECONDS)
            nursery.cancel_scope.cancel()
        return served[0], trio.current_time() - began

    async def _probe(
        self,
        entry: EntryProcess,
        service: str,
        key: str,
        served: list[Observation],
    ) -> None:
        seen = await self.ask(entry, service, key)
        if seen.told == 'complete':
            served.append(seen)

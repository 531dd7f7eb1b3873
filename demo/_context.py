"""State shared by the steps of the demo."""

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
_PROBE_INTERVAL_SECONDS = 0.03
_METHODS = MappingProxyType(
    {Rank.LOOKUP: 'GET', Rank.MONEY: 'POST', Rank.BULK: 'PUT'},
)


@dataclass(slots=True)
class DemoContext:
    """Running processes and the observations of callers so far.

    Args:
        processes: Starts and stops all processes.
        caroni: Deployment of the organisation Caroni Filings.
        dong_phuong: Deployment of the organisation Dong Phuong
            Coachworks.
        directory: Directory of logs, settings and run records.
        observations: What each caller saw, including those of the background
            load.
        callers: Sends the requests of the steps.
        request_numbers: Numbers that make the marks of requests unique.
    """

    processes: Processes
    caroni: Fleet
    dong_phuong: Fleet
    directory: Path
    observations: list[Observation] = field(default_factory=list)
    callers: Callers = field(default_factory=lambda: Callers(_TIMEOUT_SECONDS))
    request_numbers: 'itertools.count[int]' = field(
        default_factory=itertools.count
    )

    @property
    def fleets(self) -> tuple[Fleet, Fleet]:
        """Both deployments, that of Caroni Filings first."""
        return (self.caroni, self.dong_phuong)

    def records(self) -> tuple[RunRecord, ...]:
        """Return the run records of the backend servers of both deployments."""
        caroni = self.caroni.servers.records()
        return (*caroni, *self.dong_phuong.servers.records())

    def running_entries(self, fleet: Fleet) -> tuple[EntryProcess, ...]:
        """Return the entry processes of a deployment that are running."""
        return tuple(
            entry
            for entry in fleet.entries_by_name.values()
            if self.processes.is_running(entry.name)
        )

    def running_entry(self, fleet: Fleet, index: int = 0) -> EntryProcess:
        """Return one of the running entries of a deployment.

        Args:
            fleet: The deployment.
            index: Position among the running entries; wraps around.

        Raises:
            StepFailedError: If no entry is running.
        """
        running = self.running_entries(fleet)
        if not running:
            raise StepFailedError('no entry runs')
        return running[index % len(running)]

    async def send_request(
        self,
        entry: EntryProcess,
        service: str,
        key: str,
        rank: Rank = Rank.LOOKUP,
        work_ms: int = 0,
    ) -> Observation:
        """Send one request and store what its caller saw.

        Args:
            entry: Entry that receives the request.
            service: Name of the service.
            key: Key of the request.
            rank: Rank of the request; selects its method.
            work_ms: Time that the backend server works on the request, in
                milliseconds.
        """
        mark = f'demo-{next(self.request_numbers)}'
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
        observation = await self.callers.send(task)
        self.observations.append(observation)
        return observation

    async def wait_until_served(
        self,
        entry: EntryProcess,
        service: str,
        key: str,
        seconds: float,
    ) -> tuple[Observation, float]:
        """Send lookups for a key until one gets a complete answer.

        Args:
            entry: Entry that receives the lookups.
            service: Name of the service.
            key: Key to look up.
            seconds: Timeout in seconds.

        Returns:
            The first complete answer and the time until it arrived, in
            seconds.

        Raises:
            StepFailedError: If the key is not served within the timeout.
        """
        started_at = trio.current_time()
        served: list[Observation] = []
        async with trio.open_nursery() as nursery:
            while not served:
                if trio.current_time() - started_at > seconds:
                    raise StepFailedError(
                        f'{service}/{key} is not served after {seconds:.0f} s: '
                        f'{self.observations[-1]}',
                    )
                # Probes overlap, since one may be queued while a later one is
                # already answered.
                nursery.start_soon(self._probe, entry, service, key, served)
                await trio.sleep(_PROBE_INTERVAL_SECONDS)
            nursery.cancel_scope.cancel()
        return served[0], trio.current_time() - started_at

    async def _probe(
        self,
        entry: EntryProcess,
        service: str,
        key: str,
        served: list[Observation],
    ) -> None:
        observation = await self.send_request(entry, service, key)
        if observation.told == 'complete':
            served.append(observation)

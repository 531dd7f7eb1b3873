"""Router process of the soak, connected to the store through a link."""

import math
import signal
import time
from dataclasses import dataclass, replace
from enum import StrEnum, unique
from functools import partial
from pathlib import Path

import trio

from carobwalk.http import HttpClient, HttpRequest, serve_http
from carobwalk.model import Address
from soak._event_file import EventFile
from soak._link import Link
from soak._process_times import ProcessTimes
from soak._processor_waits import ProcessorWaits, SchedulerCounts
from soak._store_gate import StoreGate
from standins.platform import RouterAddresses, fill_settings
from standins.processes import Processes, find_free_addresses

_BALANCER_LAG_SECONDS = 2.0
_POLL_INTERVAL_SECONDS = 0.1
_OK = 200
_UNKNOWN_ADDRESS = Address('127.0.0.1', 1)


@unique
class RouterState(StrEnum):
    """State of a router process, as set by the soak."""

    RUNNING = 'running'
    PAUSED = 'paused'
    STOPPING = 'stopping'
    GONE = 'gone'


@dataclass(frozen=True, slots=True)
class RouterLaunch:
    """Files and program of a router.

    Args:
        directory: Directory for settings and logs.
        module: Module and arguments before the settings file, as after
            ``python -m``.
    """

    directory: Path
    module: tuple[str, ...]


class Router:
    """A router process and its restarts.

    Args:
        name: Name of the process.
        launch: Files and program.
        processes: Starts and signals processes.
        gate: Handles its store calls.
        event_file: Log of its waits for a processor.
    """

    def __init__(
        self,
        name: str,
        launch: RouterLaunch,
        processes: Processes,
        gate: StoreGate,
        event_file: EventFile,
    ) -> None:
        self.name = name
        self.gate = gate
        self.link = Link(_UNKNOWN_ADDRESS)
        self.state = RouterState.GONE
        self.incarnation = 0
        self.stop_started_at = -math.inf
        self.resumed_at = -math.inf
        self.graceful_stops: set[int] = set()
        self.times = ProcessTimes()
        read = partial(_read_counts, processes, name)
        self.waits = ProcessorWaits(name, read, event_file)
        self._launch = launch
        self._processes = processes
        self._addresses = _free_addresses(self.link)

    @property
    def caller_address(self) -> Address:
        """Address for callers."""
        return self._addresses.callers

    @property
    def accepts_callers(self) -> bool:
        """Whether the load balancer would send new callers here.

        The balancer notices a graceful stop only after some time.
        """
        if self.state is RouterState.STOPPING:
            age = trio.current_time() - self.stop_started_at
            return age < _BALANCER_LAG_SECONDS
        return self.state is not RouterState.GONE

    async def serve_store(self, nursery: trio.Nursery) -> None:
        """Serve the store to this router, behind its link."""
        listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
        port = listeners[0].socket.getsockname()[1]
        self.link.target = Address('127.0.0.1', port)
        nursery.start_soon(serve_http, self.gate, listeners)
        await nursery.start(self.link.run)

    async def start(self) -> None:
        """Start the process as a new incarnation."""
        path = self._launch.directory / f'{self.name}.json5'
        addresses = replace(self._addresses, store=self.link.address)
        path.write_text(fill_settings(self.name, addresses))
        self.incarnation += 1
        await self._processes.start(
            self.name,
            (*self._launch.module, str(path)),
            self._addresses.readiness,
        )
        self.state = RouterState.RUNNING
        self.times.started_at = trio.current_time()

    async def kill(self) -> None:
        """Kill the process."""
        self.graceful_stops.discard(self.incarnation)
        self.state = RouterState.GONE
        self.times.record_kill(self.incarnation, time.time())
        await self._processes.kill(self.name)

    async def stop(self) -> int:
        """Stop the process gracefully; return its exit status."""
        self.stop_started_at = trio.current_time()
        self.state = RouterState.STOPPING
        self.graceful_stops.add(self.incarnation)
        self._processes.send(self.name, signal.SIGTERM)
        status = await self._processes.wait(self.name)
        self.state = RouterState.GONE
        return status

    async def pause(self, seconds: float) -> None:
        """Suspend the process for some seconds, as a frozen host does."""
        incarnation = self.incarnation
        self.state = RouterState.PAUSED
        self.times.begin_pause(time.time())
        self._processes.send(self.name, signal.SIGSTOP)
        await trio.sleep(seconds)
        if (
            self.incarnation != incarnation
            or self.state is not RouterState.PAUSED
        ):
            return
        self._processes.send(self.name, signal.SIGCONT)
        self.times.end_pause(time.time())
        self.resumed_at = trio.current_time()
        self.state = RouterState.RUNNING

    def reload(self) -> None:
        """Make the process reload its settings."""
        self._processes.send(self.name, signal.SIGHUP)

    async def wait_until_ready(self) -> None:
        """Wait until the readiness check succeeds."""
        client = HttpClient()
        while True:
            request = HttpRequest('GET', '/readiness')
            sent = await client.send(self._addresses.readiness, request, 1)
            if sent.is_ok() and sent.unwrap().status == _OK:
                return
            await trio.sleep(_POLL_INTERVAL_SECONDS)


def _read_counts(processes: Processes, name: str) -> SchedulerCounts | None:
    """Return the counts of a router, ``None`` if it doesn't run."""
    if not processes.is_running(name):
        return None
    return SchedulerCounts.read(processes.pid(name))


def _free_addresses(link: Link) -> RouterAddresses:
    callers, readiness, peers, metrics = find_free_addresses(4)
    return RouterAddresses(
        callers=callers,
        readiness=readiness,
        peers=peers,
        metrics=metrics,
        store=link.address,
    )

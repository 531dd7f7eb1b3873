"""A router of the soak: a real process behind a link to the store."""

import math
import signal
from dataclasses import dataclass, replace
from enum import StrEnum, unique
from pathlib import Path

import trio

from carobwalk.http import HttpClient, HttpRequest
from carobwalk.model import Address
from soak._link import Link
from standins.platform import RouterAddresses, fill_settings
from standins.processes import Processes, find_free_addresses

_BALANCER_MISSES_SECONDS = 2.0
_POLL_SECONDS = 0.1
_OK = 200


@unique
class RouterState(StrEnum):
    """What is done to a process."""

    RUNNING = 'running'
    PAUSED = 'paused'
    STOPPING = 'stopping'
    GONE = 'gone'


@dataclass(frozen=True, slots=True)
class RouterPlaces:
    """Where a router's files are and what it runs.

    Args:
        directory: Directory of settings and logs.
        module: Module and arguments before the settings, as after ``-m``.
    """

    directory: Path
    module: tuple[str, ...]


class Router:
    """One process and its next lives.

    Args:
        name: Name of the process.
        places: Files and program.
        processes: Starts and signals processes.
        store: Where the store listens.
    """

    def __init__(
        self,
        name: str,
        places: RouterPlaces,
        processes: Processes,
        store: Address,
    ) -> None:
        self.name = name
        self.link = Link(store)
        self.state = RouterState.GONE
        self.life = 0
        self.stop_began = -math.inf
        self.paused_until = -math.inf
        self.planned_ends: set[int] = set()
        self._places = places
        self._processes = processes
        self._addresses = _free_addresses(self.link)

    @property
    def callers(self) -> Address:
        """Where it takes callers."""
        return self._addresses.callers

    @property
    def takes_callers(self) -> bool:
        """Whether the balancer would send new callers here."""
        if self.state is RouterState.STOPPING:
            age = trio.current_time() - self.stop_began
            return age < _BALANCER_MISSES_SECONDS
        return self.state is not RouterState.GONE

    async def start(self) -> None:
        """Begin the next life."""
        path = self._places.directory / f'{self.name}.json5'
        addresses = replace(self._addresses, store=self.link.address)
        path.write_text(fill_settings(self.name, addresses))
        self.life += 1
        await self._processes.start(
            self.name,
            (*self._places.module, str(path)),
            self._addresses.readiness,
        )
        self.state = RouterState.RUNNING

    async def kill(self) -> None:
        """End this life at once."""
        self.planned_ends.discard(self.life)
        self.state = RouterState.GONE
        await self._processes.kill(self.name)

    async def stop(self) -> int:
        """Ask the process to end; return its exit status."""
        self.stop_began = trio.current_time()
        self.state = RouterState.STOPPING
        self.planned_ends.add(self.life)
        self._processes.send(self.name, signal.SIGTERM)
        status = await self._processes.wait(self.name)
        self.state = RouterState.GONE
        return status

    async def pause(self, seconds: float) -> None:
        """Stop the process for some time, as a frozen host does."""
        life = self.life
        self.state = RouterState.PAUSED
        self._processes.send(self.name, signal.SIGSTOP)
        await trio.sleep(seconds)
        if self.life != life or self.state is not RouterState.PAUSED:
            return
        self._processes.send(self.name, signal.SIGCONT)
        self.paused_until = trio.current_time()
        self.state = RouterState.RUNNING

    def reload(self) -> None:
        """Tell the process to read its settings again."""
        self._processes.send(self.name, signal.SIGHUP)

    async def wait_until_ready(self) -> None:
        """Wait until the process says that it takes callers."""
        client = HttpClient()
        while True:
            request = HttpRequest('GET', '/readiness')
            sent = await client.send(self._addresses.readiness, request, 1)
            if sent.is_ok() and sent.unwrap().status == _OK:
                return
            await trio.sleep(_POLL_SECONDS)


def _free_addresses(link: Link) -> RouterAddresses:
    callers, readiness, peers, metrics = find_free_addresses(4)
    return RouterAddresses(
        callers=callers,
        readiness=readiness,
        peers=peers,
        metrics=metrics,
        store=link.address,
    )

"""Starts and ends the processes of a demo or a test, outside the product."""

import os
import signal
import subprocess
import sys
from pathlib import Path
from types import TracebackType
from typing import Self

import trio

from carobwalk.model import Address, CarobwalkError
from standins._ports import find_free_addresses

__all__ = ('ProcessError', 'Processes', 'find_free_addresses')

START_SECONDS = 20
STOP_SECONDS = 5
POLL_SECONDS = 0.05


class ProcessError(CarobwalkError):
    """A process ended, or did not listen in time."""


class Processes:
    """Processes by name; each is signalled by its own id only.

    The end of the context stops those that still run.

    Args:
        directory: Directory for their output, one ``NAME.log`` for each.
    """

    def __init__(self, directory: Path) -> None:
        self._directory = directory
        self._processes_by_name: dict[str, subprocess.Popen[bytes]] = {}

    async def __aenter__(self) -> Self:
        """Return the processes."""
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop all processes; an interrupt meanwhile kills them."""
        try:
            await _stop_all(self, tuple(self._processes_by_name))
        finally:
            for process in self._processes_by_name.values():
                process.kill()
                process.wait()

    async def start(
        self,
        name: str,
        arguments: tuple[str, ...],
        address: Address,
    ) -> None:
        """Run a Python module and wait until it listens.

        Args:
            name: Name of the process.
            arguments: Module and its arguments, as after ``python -m``.
            address: Where it is going to listen.

        Raises:
            ProcessError: If it ended or did not listen in time.
        """
        with (self._directory / f'{name}.log').open('ab') as output:
            process = subprocess.Popen(
                (sys.executable, '-m', *arguments),
                stdout=output,
                stderr=output,
                env={
                    **os.environ,
                    'PYTHONPATH': os.pathsep.join(sys.path),
                    'PYTHONUNBUFFERED': '1',
                },
            )
        self._processes_by_name[name] = process
        with trio.move_on_after(START_SECONDS):
            while process.poll() is None:
                if await _listens(address):
                    return
                await trio.sleep(POLL_SECONDS)
        raise ProcessError(f'{name} did not listen on {address}')

    def pid(self, name: str) -> int:
        """Return the id of a process."""
        return self._processes_by_name[name].pid

    def is_running(self, name: str) -> bool:
        """Return whether a process was started and has not ended."""
        process = self._processes_by_name.get(name)
        return process is not None and process.poll() is None

    def send(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process, such as ``SIGSTOP``."""
        self._processes_by_name[name].send_signal(number)

    async def kill(self, name: str) -> None:
        """End a process at once, as the loss of its host does."""
        self.send(name, signal.SIGKILL)
        await self.wait(name)

    async def stop(self, name: str) -> int | None:
        """Ask a process to end, and make it end if it takes too long.

        Returns:
            Its exit status; ``None`` if it had to be killed.
        """
        process = self._processes_by_name[name]
        process.send_signal(signal.SIGCONT)
        process.send_signal(signal.SIGTERM)
        with trio.move_on_after(STOP_SECONDS):
            return await self.wait(name)
        await self.kill(name)
        return None

    async def wait(self, name: str) -> int:
        """Wait for the end of a process and return its exit status."""
        process = self._processes_by_name[name]
        while process.poll() is None:
            await trio.sleep(POLL_SECONDS)
        return process.wait()


async def _stop_all(processes: Processes, names: tuple[str, ...]) -> None:
    with trio.CancelScope(shield=True):
        async with trio.open_nursery() as nursery:
            for name in names:
                nursery.start_soon(processes.stop, name)


async def _listens(address: Address) -> bool:
    try:
        stream = await trio.open_tcp_stream(address.host, address.port)
    except OSError:
        return False
    await stream.aclose()
    return True

"""Starts and stops the processes of a demo or a test."""

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

START_TIMEOUT_SECONDS = 20
STOP_TIMEOUT_SECONDS = 5
POLL_INTERVAL_SECONDS = 0.05


class ProcessError(CarobwalkError):
    """A process exited or did not listen in time."""


class Processes:
    """Child processes by name; signals are sent by process id only.

    Leaving the context stops all that still run.

    Args:
        directory: Directory for their output, one ``NAME.log`` each.
    """

    def __init__(self, directory: Path) -> None:
        self._directory = directory
        self._processes_by_name: dict[str, subprocess.Popen[bytes]] = {}

    async def __aenter__(self) -> Self:
        """Return these processes."""
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop all processes; an interrupt during that kills them."""
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
            address: Address on which it is expected to listen.

        Raises:
            ProcessError: If it exited or did not listen in time.
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
        with trio.move_on_after(START_TIMEOUT_SECONDS):
            while process.poll() is None:
                if await _is_listening(address):
                    return
                await trio.sleep(POLL_INTERVAL_SECONDS)
        raise ProcessError(f'{name} did not listen on {address}')

    def pid(self, name: str) -> int:
        """Return the id of a process."""
        return self._processes_by_name[name].pid

    def is_running(self, name: str) -> bool:
        """Return whether a process was started and has not exited."""
        process = self._processes_by_name.get(name)
        return process is not None and process.poll() is None

    def send(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process, such as ``SIGSTOP``."""
        self._processes_by_name[name].send_signal(number)

    async def kill(self, name: str) -> None:
        """Kill a process, as the loss of its host does."""
        self.send(name, signal.SIGKILL)
        await self.wait(name)

    async def stop(self, name: str) -> int | None:
        """Terminate a process, and kill it if that takes too long.

        Returns:
            Its exit status; ``None`` if it had to be killed.
        """
        process = self._processes_by_name[name]
        process.send_signal(signal.SIGCONT)
        process.send_signal(signal.SIGTERM)
        with trio.move_on_after(STOP_TIMEOUT_SECONDS):
            return await self.wait(name)
        await self.kill(name)
        return None

    async def wait(self, name: str) -> int:
        """Wait until a process exits and return its exit status."""
        process = self._processes_by_name[name]
        while process.poll() is None:
            await trio.sleep(POLL_INTERVAL_SECONDS)
        return process.wait()


async def _stop_all(processes: Processes, names: tuple[str, ...]) -> None:
    with trio.CancelScope(shield=True):
        async with trio.open_nursery() as nursery:
            for name in names:
                nursery.start_soon(processes.stop, name)


async def _is_listening(address: Address) -> bool:
    try:
        stream = await trio.open_tcp_stream(address.host, address.port)
    except OSError:
        return False
    await stream.aclose()
    return True

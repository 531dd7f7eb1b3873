"""Tests of the child processes of demos and tests."""

import signal
from pathlib import Path

import pytest
import trio

from carobwalk.http import HttpClient
from carobwalk.store import HttpStore, Unanswered, Unavailable
from standins.processes import ProcessError, Processes, find_free_addresses


class TestProcesses:
    def test_store(self, tmp_path: Path) -> None:
        """A store process can be called, frozen, resumed and killed."""
        address = find_free_addresses(1)[0]
        arguments = ('standins', 'store', '--listen', str(address))

        async def body() -> None:
            store = HttpStore(HttpClient(), address, timeout=1)
            async with Processes(tmp_path) as processes:
                await processes.start('store', arguments, address)
                assert (await store.write('a', b'1', 0)).is_ok()
                processes.send('store', signal.SIGSTOP)
                frozen = await store.read('a')
                assert isinstance(frozen.unwrap_err(), Unanswered)
                processes.send('store', signal.SIGCONT)
                assert (await store.read('a')).is_ok()
                await processes.kill('store')
                killed = await store.read('a')
                assert isinstance(killed.unwrap_err(), Unavailable)
                await processes.start('store', arguments, address)
            assert not processes.is_running('store')

        trio.run(body)

    def test_failed_start(self, tmp_path: Path) -> None:
        """A process that exits before it listens raises an error."""
        address = find_free_addresses(1)[0]

        async def body() -> None:
            async with Processes(tmp_path) as processes:
                with pytest.raises(ProcessError):
                    await processes.start('a', ('standins', 'none'), address)

        trio.run(body)

    def test_interrupt(self, tmp_path: Path) -> None:
        """An interrupt leaves no process behind, even a frozen one."""
        address = find_free_addresses(1)[0]
        arguments = ('standins', 'store', '--listen', str(address))
        processes = Processes(tmp_path)

        async def body() -> None:
            async with processes:
                await processes.start('store', arguments, address)
                # A frozen process does not react to SIGTERM.
                processes.send('store', signal.SIGSTOP)
                signal.raise_signal(signal.SIGINT)
                await trio.sleep_forever()

        # Background jobs of a shell may be started with SIGINT ignored.
        inherited = signal.signal(signal.SIGINT, signal.default_int_handler)
        try:
            with pytest.raises(KeyboardInterrupt):
                trio.run(body)
        finally:
            signal.signal(signal.SIGINT, inherited)
        assert not processes.is_running('store')

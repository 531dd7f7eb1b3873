"""Waits for capacity: how long they last, and when there is none."""

from dataclasses import replace

import pytest
import trio
from trio.testing import MockClock

from carobwalk.gateway import KeyedChooser, NoTarget, Target
from carobwalk.gateway._server_notice import ServerNotice
from tests.gateway.harness import SingleOwnerMap
from tests.gateway.test_choosers import ChooserHarness, make_request
from tests.keyspace.simulated_fleet import SERVICE, make_server

_LATENCY = 0.4
_SOON = 1.5


class _FullServer:
    """One full server that takes 0.4 s for a request, chosen by key or not.

    Args:
        by_key: Whether the server is chosen as the owner of a key.
    """

    def __init__(self, by_key: bool) -> None:
        self.harness = ChooserHarness(1)
        self.server = self.harness.directory.all_servers()[0]
        self.loads = self.harness.loads
        # The only process has all of the server's slots.
        self.loads.process_count = 1
        self.load = self.loads.of_keyed(self.server)
        self.by_key = by_key
        owners = SingleOwnerMap()
        owners.server = self.server
        self.keyed = KeyedChooser(owners, self.loads, self.harness.candidates)
        for _ in range(300):
            self.loads.record_answer(self.server, trio.current_time(), _LATENCY)
        while self.load.has_capacity:
            self.loads.start(self.server)

    async def choose(
        self,
        seconds: float,
        caller: str = 'a',
        target: float = 9,
        name: str = '',
        rank: int = 0,
    ) -> Target | NoTarget:
        """Return what is chosen for a request with a time to its deadline."""
        request = make_request(seconds=seconds)
        route = replace(
            request.route, target_latency=target, name=name, rank=rank
        )
        request = replace(request, caller=caller, route=route)
        if self.by_key:
            return await self.keyed.choose(SERVICE, request, 7)
        return await self.harness.choose(request)

    async def queue(self, nursery: trio.Nursery, count: int) -> None:
        """Start requests of other callers that wait for long."""
        for number in range(count):
            nursery.start_soon(self.choose, 1000, f'waiting-{number}')
        await trio.sleep(0.01)


class TestNewCapacity:
    def test_new_server(self, virtual_clock: MockClock) -> None:
        """A server that registers serves requests that wait already.

        Guards against waiting for the end of requests at servers that hang.
        """

        async def main() -> None:
            full = _FullServer(by_key=False)
            started_at = trio.current_time()
            async with trio.open_nursery() as nursery:

                async def register() -> None:
                    await trio.sleep(1)
                    full.harness.directory.put(make_server(1), 1)

                nursery.start_soon(register)
                chosen = await full.choose(9)
            assert isinstance(chosen, Target)
            assert trio.current_time() - started_at < _SOON

        trio.run(main, clock=virtual_clock)


class TestLimitedOwner:
    """Requests at a full owner that asks to wait when it has capacity again.

    Guards against capacity that is lost with the request that was woken for
    it, so that those behind it are refused beside an idle owner.
    """

    @pytest.mark.parametrize('is_cancelled', (True, False))
    def test_passed_on(
        self, is_cancelled: bool, virtual_clock: MockClock
    ) -> None:
        """A request that can't wait for the limit wakes the next one."""

        async def main() -> None:
            full = _FullServer(by_key=True)
            scope = trio.CancelScope()

            async def choose_first() -> None:
                with scope:
                    await full.choose(9 if is_cancelled else 2, 'first')

            async def free() -> None:
                await trio.sleep(0.01)
                notice = ServerNotice(wait_seconds=1)
                full.loads.gates.apply(full.server, notice)
                full.loads.finish(full.server)
                await trio.sleep(0.5)
                if is_cancelled:
                    scope.cancel()

            async with trio.open_nursery() as nursery:
                nursery.start_soon(choose_first)
                await trio.sleep(0.01)
                nursery.start_soon(free)
                chosen = await full.choose(9, 'second')
                assert isinstance(chosen, Target)
                assert trio.current_time() < _SOON

        trio.run(main, clock=virtual_clock)


@pytest.mark.parametrize('by_key', (True, False))
class TestFullServer:
    @pytest.mark.parametrize(
        ('seconds', 'longest'),
        # A response takes at least half of the latency. Beyond short deadlines,
        # more than half of the time is left to the caller for another try.
        [(0.3, 0.3 - _LATENCY / 2), (3, 3 * 0.45)],
    )
    def test_dropped_at_deadline(
        self,
        by_key: bool,
        seconds: float,
        longest: float,
        virtual_clock: MockClock,
    ) -> None:
        """A request leaves the queue when its wait has become useless."""

        async def main() -> None:
            full = _FullServer(by_key)
            started_at = trio.current_time()
            chosen = await full.choose(seconds)
            assert isinstance(chosen, NoTarget)
            waited = trio.current_time() - started_at
            assert waited == pytest.approx(longest, abs=0.02)
            assert not full.load.queue
            assert not full.loads.queue_of(SERVICE)

        trio.run(main, clock=virtual_clock)

    def test_known_wait(self, by_key: bool, virtual_clock: MockClock) -> None:
        """A wait that is known to be too long is refused before it begins."""

        async def main() -> None:
            full = _FullServer(by_key)
            ahead = 40
            async with trio.open_nursery() as nursery:
                await full.queue(nursery, ahead)
                started_at = trio.current_time()
                chosen = await full.choose(1)
                assert trio.current_time() == started_at
                assert isinstance(chosen, NoTarget)
                wait = (ahead + 1) * _LATENCY / full.load.limit
                assert chosen.retry_after == pytest.approx(wait, rel=0.05)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=virtual_clock)

    def test_late_with_capacity(
        self, by_key: bool, virtual_clock: MockClock
    ) -> None:
        """A request that will be late isn't refused while there is capacity."""

        async def main() -> None:
            full = _FullServer(by_key)
            async with trio.open_nursery() as nursery:

                async def free() -> None:
                    await trio.sleep(1)
                    full.loads.finish(full.server)

                nursery.start_soon(free)
                chosen = await full.choose(3, target=0.5)
                assert isinstance(chosen, Target)

        trio.run(main, clock=virtual_clock)

    def test_no_overtaking(
        self, by_key: bool, virtual_clock: MockClock
    ) -> None:
        """A new request doesn't take the capacity that another waited for."""

        async def main() -> None:
            full = _FullServer(by_key)
            order = []

            async def wait(caller: str) -> None:
                if isinstance(await full.choose(9, caller), Target):
                    order.append(caller)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(wait, 'first')
                await trio.sleep(0.1)
                nursery.start_soon(wait, 'second')
                full.loads.finish(full.server)
                await trio.sleep(0.1)
                assert order == ['first']
                full.loads.finish(full.server)

        trio.run(main, clock=virtual_clock)

    def test_burst_of_a_route(
        self, by_key: bool, virtual_clock: MockClock
    ) -> None:
        """A burst of an urgent route doesn't hold all that is freed.

        The requests in flight are all of the burst, so the next slot is the
        other route's.
        """

        async def main() -> None:
            full = _FullServer(by_key)
            order = []

            async def wait(name: str, rank: int) -> None:
                chosen = await full.choose(9, name, name=name, rank=rank)
                if isinstance(chosen, Target):
                    order.append(name)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(wait, '', 0)
                await trio.sleep(0.1)
                nursery.start_soon(wait, 'other', 1)
                await trio.sleep(0.1)
                full.loads.finish(full.server)
                await trio.sleep(0.1)
                full.loads.finish(full.server)
            assert order == ['other', '']

        trio.run(main, clock=virtual_clock)

    def test_cancelled_turn(
        self, by_key: bool, virtual_clock: MockClock
    ) -> None:
        """A caller that leaves in its turn passes the capacity on."""

        async def main() -> None:
            full = _FullServer(by_key)
            scope = trio.CancelScope()

            async def leave() -> None:
                with scope:
                    await full.choose(9, 'leaving')

            async with trio.open_nursery() as nursery:
                nursery.start_soon(leave)
                await trio.sleep(0.1)
                nursery.start_soon(full.choose, 9, 'staying')
                await trio.sleep(0.1)
                scope.cancel()
                full.loads.finish(full.server)
                await trio.sleep(0.1)
                is_used = not full.load.has_capacity
                nursery.cancel_scope.cancel()
            assert is_used

        trio.run(main, clock=virtual_clock)

"""Tests of the memory that answers of many backend servers use."""

import pytest
import trio

from carobwalk.http import H11Stream
from tests.gateway.harness import GatewayHarness, exchange
from tests.gateway.raw_scenarios import (
    CHUNKED_HEAD,
    OPEN_HEAD,
    STRAY,
    WHOLE,
    add_server,
    run,
)
from tests.http.raw_server import Ending, Script

_MEMORY_BYTES = 6_000_000
_BODY_BYTES = 1_500_000
# With so much declared by each, the memory suffices for two answers.
_HELD_COUNT = 2
# Number of servers, and of requests at the same time. A server whose answer was
# cut is avoided for a while, so there is one for each request.
_COUNT = 24
# Only a failure lasts so long.
_PATIENCE_SECONDS = 20
_LARGE_HEAD = b'%scontent-length: %d\r\n\r\n' % (OPEN_HEAD, _BODY_BYTES)
_LARGE = b'%s%s' % (_LARGE_HEAD, b'x' * _BODY_BYTES)
_OTHER = _LARGE.replace(b'id1', b'other')


async def _ask_at_once(harness: GatewayHarness, statuses: list[int]) -> None:
    """Send requests at the same time and add their statuses to a list."""

    async def ask() -> None:
        answer = await harness.send_request(
            'POST', '/writes/a', deadline_ms='20000'
        )
        statuses.append(answer.status)

    async with trio.open_nursery() as nursery:
        for _ in range(_COUNT):
            nursery.start_soon(ask)


async def _wait_until_cut(statuses: list[int], count: int) -> None:
    with trio.fail_after(_PATIENCE_SECONDS):
        while len(statuses) < count:
            await trio.sleep(0.01)


async def _wait_until_held(harness: GatewayHarness) -> None:
    with trio.fail_after(_PATIENCE_SECONDS):
        while not harness.answer_memory.held_bytes:
            await trio.sleep(0.01)


async def _wait_until_released(harness: GatewayHarness) -> None:
    with trio.fail_after(_PATIENCE_SECONDS):
        while harness.answer_memory.held_bytes:
            await trio.sleep(0.01)


class TestManyAnswers:
    def test_declared(self) -> None:
        """Answers for which there is no memory are cut at their heads."""
        # Guards against holding 16 MiB for each of many servers at once.

        async def scenario(harness: GatewayHarness) -> None:
            for number in range(_COUNT):
                await add_server(
                    harness, 'writes', Script(_LARGE_HEAD), name=f's{number}'
                )
            await add_server(harness, 'reads', Script(WHOLE), name='small')
            statuses: list[int] = []
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_ask_at_once, harness, statuses)
                await _wait_until_cut(statuses, _COUNT - _HELD_COUNT)
                answer = await harness.send_request(
                    'GET', '/reads/a', deadline_ms='20000'
                )
                assert answer.status == 200
                held_bytes = harness.answer_memory.held_bytes
                assert held_bytes == _HELD_COUNT * _BODY_BYTES
                assert set(statuses) == {502}
                assert len(statuses) == _COUNT - _HELD_COUNT
                nursery.cancel_scope.cancel()

        run(scenario, _MEMORY_BYTES)

    def test_endless(self) -> None:
        """Answers without end are cut and leave nothing in memory."""
        # Guards against a total that is not bounded or never goes back.

        async def scenario(harness: GatewayHarness) -> None:
            chunk = b'%x\r\n%s\r\n' % (32_768, b'x' * 32_768)
            script = Script(CHUNKED_HEAD, Ending.REPEAT, chunk)
            for number in range(_COUNT):
                await add_server(harness, 'writes', script, name=f's{number}')
            statuses: list[int] = []
            await _ask_at_once(harness, statuses)
            assert set(statuses) == {502}
            assert len(statuses) == _COUNT
            await _wait_until_released(harness)

        run(scenario, _MEMORY_BYTES)


class TestRelease:
    @pytest.mark.parametrize(
        ('script', 'status'),
        [
            (Script(_LARGE), 200),
            (Script(_LARGE[:-1], Ending.CLOSE), 502),
            (Script(_LARGE[:-1], Ending.RESET), 502),
            (Script(_LARGE_HEAD, Ending.REPEAT, b'x', 0.1), 504),
            (Script(_OTHER), 504),
            (Script(b'%s%s' % (_OTHER, WHOLE)), 200),
            (Script(b'%s%s' % (STRAY, WHOLE)), 200),
        ],
    )
    def test_after_answer(self, script: Script, status: int) -> None:
        """The memory is free once the caller has got its answer."""
        # Guards against a bound that is used up after some time.

        async def scenario(harness: GatewayHarness) -> None:
            await add_server(harness, 'writes', script)
            answer = await harness.send_request(
                'POST', '/writes/a', deadline_ms='2000'
            )
            assert answer.status == status
            await _wait_until_released(harness)

        run(scenario, _MEMORY_BYTES)

    @pytest.mark.parametrize('path', ['/writes/a', '/reads/a'])
    def test_caller_left(self, path: str) -> None:
        """The memory is free after the caller has disconnected."""
        # Guards against a bound that is used up after some time.

        async def scenario(harness: GatewayHarness) -> None:
            await add_server(harness, path.split('/')[1], Script(_LARGE_HEAD))
            http = await harness.open()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_ask_until_closed, http)
                await _wait_until_held(harness)
                nursery.cancel_scope.cancel()
            await trio.aclose_forcefully(http.stream)
            await _wait_until_released(harness)

        async def _ask_until_closed(http: H11Stream) -> None:
            await exchange(http, 'POST', path, deadline_ms='1000')

        run(scenario, _MEMORY_BYTES)

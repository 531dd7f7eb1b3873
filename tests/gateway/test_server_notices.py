"""Requests to servers that say in their answers what they accept.

Guards against notices that nothing reads: servers got requests for ever after
they had said that they leave, 43 in the time that a refusal asked to wait, and
145 in 4 s where their limit allowed 44.
"""

import pytest
import trio

from carobwalk.gateway import RetryRules
from carobwalk.model import ServerId
from standins.platform import Fault, PlatformBackend
from tests.gateway.harness import GatewayHarness

LIMIT = 6.5
WINDOW_SECONDS = 4.0
MOST_IN_WINDOW = LIMIT * WINDOW_SECONDS * 1.5 + 5
REQUEST_INTERVAL_SECONDS = 0.02
DRAIN_SECONDS = 2.0
WAIT_SECONDS = 2.0
# Time after an answer in which requests that are under way may still arrive.
GRACE_SECONDS = 0.5
MANY = 10_000

ROUTES = ('reads', 'writes', 'keyed')


class Callers:
    """Callers of one route, one after the other."""

    def __init__(self, harness: GatewayHarness, service: str) -> None:
        self._harness = harness
        self._service = service
        self.statuses: list[int] = []
        self.retry_after: list[float] = []

    async def run(self, seconds: float) -> None:
        """Send requests at a steady rate for a time."""
        async with trio.open_nursery() as nursery:
            for number in range(int(seconds / REQUEST_INTERVAL_SECONDS)):
                self._harness.share.renew(1)
                nursery.start_soon(self._send, number)
                await trio.sleep(REQUEST_INTERVAL_SECONDS)

    async def _send(self, number: int) -> None:
        answer = await self._harness.send_request(
            'POST' if self._service == 'writes' else 'GET',
            f'/{self._service}/a',
            b'',
            f'id{number}',
            shard_key='5',
        )
        self.statuses.append(answer.status)
        if answer.status == 503:
            self.retry_after.append(float(answer.headers[b'retry-after']))


async def _add(
    harness: GatewayHarness, service: str, *, is_alone: bool
) -> PlatformBackend:
    """Add the server that gives notices, which owns all keys.

    Another server is slower, so that requests prefer this one.
    """
    backend = await harness.add_backend(service, 's1', 0.01)
    harness.owners.server = harness.directory.get(ServerId('s1'))
    if not is_alone:
        await harness.add_backend(service, 's2', 0.06)
    return backend


@pytest.mark.parametrize('is_alone', [True, False])
@pytest.mark.parametrize('service', ROUTES)
class TestNotices:
    def test_limit(self, run_scenario, service: str, is_alone: bool) -> None:
        """A server is sent no more than the limit that it names."""

        async def scenario(harness: GatewayHarness) -> None:
            backend = await _add(harness, service, is_alone=is_alone)
            backend.notices.limit = LIMIT
            callers = Callers(harness, service)
            await callers.run(GRACE_SECONDS)
            await callers.run(WINDOW_SECONDS)
            end = trio.current_time()
            window = [
                moment
                for moment in backend.arrivals.times
                if moment > end - WINDOW_SECONDS
            ]
            assert len(window) <= MOST_IN_WINDOW
            assert len(window) >= LIMIT * WINDOW_SECONDS / 2
            if not is_alone and service != 'keyed':
                assert 503 not in callers.statuses

        run_scenario(scenario)

    def test_wait(self, run_scenario, service: str, is_alone: bool) -> None:
        """After a refusal with a time a server is sent nothing for so long."""

        async def scenario(harness: GatewayHarness) -> None:
            backend = await _add(harness, service, is_alone=is_alone)
            backend.fault = Fault.SHED
            backend.remaining_faults = 1
            backend.notices.retry_after = WAIT_SECONDS
            callers = Callers(harness, service)
            await callers.run(WAIT_SECONDS + GRACE_SECONDS)
            first = backend.arrivals.times[0]
            early = [
                moment
                for moment in backend.arrivals.times
                if GRACE_SECONDS < moment - first < WAIT_SECONDS
            ]
            assert len(early) <= 2
            assert backend.arrivals.times[-1] > first + WAIT_SECONDS
            if is_alone or service == 'keyed':
                assert max(callers.retry_after) > WAIT_SECONDS - GRACE_SECONDS

        run_scenario(scenario)

    def test_leaving(self, run_scenario, service: str, is_alone: bool) -> None:
        """A server that says that it leaves is sent nothing more."""

        async def scenario(harness: GatewayHarness) -> None:
            backend = await _add(harness, service, is_alone=is_alone)
            callers = Callers(harness, service)
            backend.notices.is_leaving = True
            await callers.run(DRAIN_SECONDS + 1)
            first = backend.arrivals.times[0]
            assert backend.arrivals.times[-1] - first < DRAIN_SECONDS
            if not is_alone and service != 'keyed':
                assert set(callers.statuses) == {200}

        run_scenario(scenario)


class TestTrueTime:
    def test_refused_owner(self, run_scenario) -> None:
        """A caller is told the wait of its key's owner, also if not retried."""

        async def scenario(harness: GatewayHarness) -> None:
            backend = await _add(harness, 'keyed', is_alone=True)
            backend.fault = Fault.SHED
            backend.remaining_faults = 1
            backend.notices.retry_after = WAIT_SECONDS
            harness.budgets.apply_rules(RetryRules(ratio=0, slack=0, window=10))
            answer = await harness.send_request(
                'GET', '/keyed/a', shard_key='5'
            )
            assert answer.status == 503
            assert float(answer.headers[b'retry-after']) == WAIT_SECONDS

        run_scenario(scenario)


class TestEndOfNotices:
    def test_limit_ends(self, run_scenario) -> None:
        """An answer that names no limit ends it."""

        async def scenario(harness: GatewayHarness) -> None:
            backend = await _add(harness, 'keyed', is_alone=True)
            backend.notices.limit = LIMIT
            callers = Callers(harness, 'keyed')
            await callers.run(1)
            backend.notices.limit = None
            await callers.run(0.5)
            arrived = len(backend.arrivals.times)
            await callers.run(1)
            assert len(backend.arrivals.times) - arrived > LIMIT * 2

        run_scenario(scenario)

    @pytest.mark.parametrize(
        'limit', ['2', '2.', '.5', '2.938937123712807', '0.30000000000000004']
    )
    def test_decimal(self, run_scenario, limit: str) -> None:
        """A limit may have any number of decimal places."""

        async def scenario(harness: GatewayHarness) -> None:
            backend = await _add(harness, 'keyed', is_alone=True)
            backend.notices.limit = limit
            callers = Callers(harness, 'keyed')
            await callers.run(1)
            assert len(backend.arrivals.times) < LIMIT

        run_scenario(scenario)

    @pytest.mark.parametrize(
        'limit', ['nan', '-1', '1e400', 'x', '9' * 400, '']
    )
    def test_bad_limit(self, run_scenario, limit: str) -> None:
        """A limit that is no decimal number is ignored."""

        async def scenario(harness: GatewayHarness) -> None:
            backend = await _add(harness, 'keyed', is_alone=True)
            backend.notices.limit = limit
            callers = Callers(harness, 'keyed')
            await callers.run(0.5)
            assert set(callers.statuses) == {200}

        run_scenario(scenario)

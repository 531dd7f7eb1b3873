"""Tests of tokens and roles."""

import pytest
import trio
from trio.testing import MockClock

from standins.memory_store import StoreFaults
from tests.admin._harness import AdminHarness, body_of, run_with_harness
from tests.admin._requests import REASON, issue_token


class TestAccess:
    """Tokens and roles."""

    def test_roles(self, virtual_clock: MockClock) -> None:
        """A token grants only its roles, and its hash is redacted."""

        async def test(harness: AdminHarness) -> None:
            harness.token = await issue_token(
                harness,
                'ana',
                'read',
                'edit',
                'assign',
            )
            reader = await issue_token(harness, 'bo', 'read')
            harness.token = reader
            body = {'name': 'x', 'fields': {}, 'reason': REASON}
            rejected = await harness.call('POST', '/v1/profiles', body, base=2)
            assert (rejected.status, body_of(rejected)['kind']) == (
                403,
                'forbidden',
            )
            page = await harness.call('GET', '/v1/history')
            assert b'argon2' not in page.body
            assert b'(hidden)' in page.body

        run_with_harness(virtual_clock, test)

    @pytest.mark.parametrize(
        'token',
        ['', 'bootstrap', 'bootstrap.wrong', 'nobody.first-secret', 'ana.x'],
    )
    def test_invalid_tokens(
        self,
        virtual_clock: MockClock,
        token: str,
    ) -> None:
        """A request without a valid token is rejected."""

        async def test(harness: AdminHarness) -> None:
            harness.token = token
            rejected = await harness.call('GET', '/v1/profiles')
            assert rejected.status == 401
            assert 'Bearer' in body_of(rejected)['way_out']

        run_with_harness(virtual_clock, test)

    def test_bootstrap_token_ends_with_the_first_operator(
        self, virtual_clock: MockClock
    ) -> None:
        """The first operator ends the bootstrap token; tokens are revocable."""

        async def test(harness: AdminHarness) -> None:
            bootstrap = harness.token
            ana = await issue_token(harness, 'ana', 'read', 'edit', 'assign')
            rejected = await harness.call('GET', '/v1/profiles')
            assert rejected.status == 401
            harness.token = ana
            bo = await issue_token(harness, 'bo', 'read')
            revoked = await harness.call(
                'DELETE',
                '/v1/tokens/bo',
                {'reason': REASON},
                base=2,
            )
            assert revoked.status == 200
            for token in (bo, bootstrap):
                harness.token = token
                rejected = await harness.call('GET', '/v1/profiles')
                assert rejected.status == 401

        run_with_harness(virtual_clock, test)

    def test_process_that_has_not_joined(
        self,
        virtual_clock: MockClock,
    ) -> None:
        """The bootstrap token is rejected while the operators are unknown."""

        async def test(harness: AdminHarness) -> None:
            await issue_token(harness, 'ana', 'read', 'edit', 'assign')
            fleet = harness.fleet
            for process in tuple(fleet.processes.values()):
                fleet.stop(process)
            fleet.store_faults = StoreFaults(down=True)
            started = AdminHarness(fleet, fleet.start(fleet.endpoints[1]))
            rejected = await started.call('GET', '/v1/profiles')
            assert rejected.status == 503
            assert body_of(rejected)['kind'] == 'not-ready'
            fleet.store_faults = StoreFaults()
            fleet.apply_store_faults()
            await trio.sleep(3)
            rejected = await started.call('GET', '/v1/profiles')
            assert rejected.status == 401

        run_with_harness(virtual_clock, test)

    def test_concurrent_invalid_tokens(self, virtual_clock: MockClock) -> None:
        """Token checks above the queue limit are rejected immediately."""

        async def test(harness: AdminHarness) -> None:
            harness.token = 'bootstrap.wrong'
            statuses: list[int] = []

            async def call() -> None:
                response = await harness.call('GET', '/v1/profiles')
                statuses.append(response.status)

            async with trio.open_nursery() as nursery:
                for _ in range(20):
                    nursery.start_soon(call)
            assert set(statuses) == {401, 429}

        run_with_harness(virtual_clock, test)

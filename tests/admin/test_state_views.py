"""Tests of status, explanation and quarantine."""

import pytest
import trio
from trio.testing import MockClock

from tests.admin._harness import AdminHarness, body_of, run_with_harness
from tests.admin._requests import REASON, create_profile


class TestState:
    """Status, explanation and quarantine."""

    def test_status(self, virtual_clock: MockClock) -> None:
        """The status counts up-to-date processes and lists lagging ones."""

        async def test(harness: AdminHarness) -> None:
            await create_profile(harness, 'filings')
            await trio.sleep(4)
            harness.fleet.stop(harness.fleet.processes['entry-002'])
            view = body_of(await harness.call('GET', '/v1/status'))
            assert (view['in_force'], view['processes']) == (2, 3)
            assert view['lagging'][0]['process'] == 'entry-002'
            later = await harness.call(
                'GET',
                '/v1/status',
                query={'revision': '9'},
            )
            assert body_of(later)['in_force'] == 0

        run_with_harness(virtual_clock, test)

    @pytest.mark.parametrize(
        ('keyed', 'owner'),
        [(True, 'server-3'), (False, None)],
    )
    def test_explain(
        self,
        virtual_clock: MockClock,
        keyed: bool,
        owner: str | None,
    ) -> None:
        """The explanation has the profile, the ownership and its reasons."""

        async def test(harness: AdminHarness) -> None:
            revision = await create_profile(harness, 'filings', keyed=keyed)
            await harness.call(
                'PUT',
                '/v1/services/case-registry',
                {'profile': 'filings', 'reason': REASON},
                base=revision,
            )
            query = {'service': 'case-registry', 'key': 'case-17'}
            view = body_of(
                await harness.call('GET', '/v1/explain', query=query)
            )
            assert view['profile'] == 'filings'
            assert view['ownership']['owner'] == owner
            assert view['ownership']['why']
            unknown = await harness.call(
                'GET',
                '/v1/explain',
                query={'service': 'x', 'key': 'y'},
            )
            assert unknown.status == 404

        run_with_harness(virtual_clock, test)

    def test_quarantine(self, virtual_clock: MockClock) -> None:
        """A request is listed, cleared once, and then not found."""

        async def test(harness: AdminHarness) -> None:
            listed = body_of(await harness.call('GET', '/v1/quarantine'))
            assert listed['requests'][0]['identity'] == 'd1'
            cleared = await harness.call('DELETE', '/v1/quarantine/d1')
            assert cleared.status == 200
            assert harness.quarantine.cleared_by == ['bootstrap']
            again = await harness.call('DELETE', '/v1/quarantine/d1')
            assert body_of(again)['kind'] == 'not-quarantined'

        run_with_harness(virtual_clock, test)

"""Tests of the outcomes of writes while the store fails."""

from trio.testing import MockClock

from standins.memory_store import StoreFaults
from tests.admin._harness import AdminHarness, body_of, run_with_harness
from tests.admin._requests import PROFILE, REASON, create_profile


class TestOutcomes:
    """Outcomes of writes while the store fails."""

    def test_store_down(self, virtual_clock: MockClock) -> None:
        """Reads show the active configuration; writes have a known outcome."""

        async def test(harness: AdminHarness) -> None:
            revision = await create_profile(harness, 'filings', slots=4)
            harness.process.store.inject(StoreFaults(down=True))
            shown = body_of(await harness.call('GET', PROFILE))
            assert shown['source'] == 'in-force'
            rejected = await harness.put(PROFILE, revision, {'slots': 5})
            error = body_of(rejected)
            assert (rejected.status, error['outcome']) == (503, 'refused')
            assert 'nothing was changed' in error['way_out']
            history = await harness.call('GET', '/v1/history')
            assert history.status == 503

        run_with_harness(virtual_clock, test)

    def test_unknown_outcome_is_found_by_write_id(
        self,
        virtual_clock: MockClock,
    ) -> None:
        """The outcome of an unanswered write is found by its id."""

        async def test(harness: AdminHarness) -> None:
            revision = await create_profile(harness, 'filings', slots=4)
            store = harness.process.store
            store.inject(StoreFaults(holds_writes=True, timeout=1))
            body = {'fields': {'slots': 5}, 'reason': REASON}
            response = await harness.call(
                'PUT',
                PROFILE,
                body,
                base=revision,
                write_id='w-5',
            )
            error = body_of(response)
            assert (response.status, error['outcome']) == (504, 'unknown')
            assert error['write_id'] == 'w-5'
            store.release_held()
            store.inject(StoreFaults())
            found = await harness.call('GET', '/v1/writes/w-5')
            assert body_of(found)['revision'] == 2
            again = await harness.call(
                'PUT',
                PROFILE,
                body,
                base=revision,
                write_id='w-5',
            )
            assert body_of(again)['repeated'] is True
            missing = await harness.call('GET', '/v1/writes/other')
            assert body_of(missing)['kind'] == 'change-not-kept'

        run_with_harness(virtual_clock, test)

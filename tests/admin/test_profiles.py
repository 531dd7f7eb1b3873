"""Tests of reads and writes of profiles."""

from trio.testing import MockClock

from tests.admin._harness import AdminHarness, body_of, run_with_harness
from tests.admin._requests import PROFILE, REASON, create_profile, issue_token


class TestProfiles:
    """Reads and writes of profiles."""

    def test_profile_lifecycle(self, virtual_clock: MockClock) -> None:
        """A profile is created, shown, edited, reverted and deleted."""

        async def test(harness: AdminHarness) -> None:
            await create_profile(harness, 'base', slots=4)
            revision = await create_profile(harness, 'filings', parent='base')
            shown = body_of(await harness.call('GET', PROFILE))
            assert shown['fields'] == {'parent': 'base'}
            assert shown['resolved']['slots'] == 4
            edited = await harness.put(PROFILE, revision, {'slots': 3})
            assert body_of(edited)['outcome'] == 'accepted'
            change = body_of(edited)['change']
            assert change['fields'] == [
                {'field': 'parent', 'before': 'base', 'after': None},
                {'field': 'slots', 'before': None, 'after': 3},
            ]
            reverted = await harness.call(
                'POST',
                f'{PROFILE}/revert',
                {'revision': change['revision'], 'reason': REASON},
            )
            assert body_of(reverted)['change']['reverted'] == []
            shown = body_of(await harness.call('GET', PROFILE))
            assert shown['fields'] == {'parent': 'base'}
            deleted = await harness.call(
                'DELETE',
                PROFILE,
                {'reason': REASON},
                base=shown['revision'],
            )
            assert deleted.status == 200
            missing = await harness.call('GET', PROFILE)
            assert (missing.status, body_of(missing)['kind']) == (
                404,
                'not-found',
            )

        run_with_harness(virtual_clock, test)

    def test_stale_write(self, virtual_clock: MockClock) -> None:
        """A stale write is rejected with the conflicting change."""

        async def test(harness: AdminHarness) -> None:
            revision = await create_profile(harness, 'filings', slots=4)
            await harness.put(PROFILE, revision, {'slots': 5})
            rejected = await harness.put(PROFILE, revision, {'slots': 6})
            error = body_of(rejected)
            assert (rejected.status, error['kind']) == (412, 'stale-revision')
            assert error['outcome'] == 'conflict'
            assert error['current_revision'] == 2
            assert error['changes'][0]['fields'][0]['after'] == 5
            assert 'read the subject again' in error['way_out']

        run_with_harness(virtual_clock, test)

    def test_all_problems(self, virtual_clock: MockClock) -> None:
        """An invalid profile is rejected with every problem."""

        async def test(harness: AdminHarness) -> None:
            revision = await create_profile(harness, 'filings')
            response = await harness.put(
                PROFILE,
                revision,
                {'slots': 0, 'colour': 'green', 'parent': 'none'},
            )
            assert response.status == 422
            kinds = [found['kind'] for found in body_of(response)['problems']]
            assert sorted(kinds) == [
                'out-of-range',
                'unknown-field',
                'unknown-parent',
            ]

        run_with_harness(virtual_clock, test)

    def test_deletion_in_use(self, virtual_clock: MockClock) -> None:
        """Deleting a profile in use is rejected and lists its dependents."""

        async def test(harness: AdminHarness) -> None:
            revision = await create_profile(harness, 'filings')
            await harness.call(
                'PUT',
                '/v1/services/case-registry',
                {'profile': 'filings', 'reason': REASON},
                base=revision,
            )
            rejected = await harness.call(
                'DELETE',
                PROFILE,
                {'reason': REASON},
                base=revision,
            )
            assert (rejected.status, body_of(rejected)['kind']) == (
                409,
                'in-use',
            )
            assert body_of(rejected)['services'] == ['case-registry']

        run_with_harness(virtual_clock, test)

    def test_dry_run(self, virtual_clock: MockClock) -> None:
        """A dry run lists the affected services and changes nothing."""

        async def test(harness: AdminHarness) -> None:
            revision = await create_profile(harness, 'filings', slots=4)
            await harness.call(
                'PUT',
                '/v1/services/case-registry',
                {'profile': 'filings', 'reason': REASON},
                base=revision,
            )
            tried = await harness.call(
                'PUT',
                PROFILE,
                {'fields': {'slots': 9}, 'reason': REASON},
                base=revision,
                query={'dry_run': 'true'},
            )
            view = body_of(tried)
            assert view['outcome'] == 'dry-run'
            assert view['effects'][0]['service'] == 'case-registry'
            listed = body_of(await harness.call('GET', '/v1/services'))
            assert listed['revision'] == 2

        run_with_harness(virtual_clock, test)

    def test_revert_after_a_later_change(
        self,
        virtual_clock: MockClock,
    ) -> None:
        """Reverting a change that was changed again since is a conflict."""

        async def test(harness: AdminHarness) -> None:
            revision = await create_profile(harness, 'filings', slots=4)
            await harness.put(PROFILE, revision, {'slots': 5})
            await harness.put(PROFILE, 2, {'slots': 6})
            response = await harness.call(
                'POST',
                f'{PROFILE}/revert',
                {'revision': 2, 'reason': REASON},
            )
            assert body_of(response)['kind'] == 'stale-revision'

        run_with_harness(virtual_clock, test)

    def test_revert_of_another_operators_change(
        self,
        virtual_clock: MockClock,
    ) -> None:
        """The revert must be declared, and the history records it."""

        async def test(harness: AdminHarness) -> None:
            ana = await issue_token(harness, 'ana', 'read', 'edit', 'assign')
            harness.token = ana
            bo = await issue_token(harness, 'bo', 'read', 'edit')
            revision = await create_profile(harness, 'filings', slots=4)
            harness.token = bo
            edited = body_of(await harness.put(PROFILE, revision, {'slots': 5}))
            harness.token = ana
            last = edited['revision']
            rejected = await harness.put(PROFILE, last, {'slots': 4})
            assert body_of(rejected)['kind'] == 'reverts-another'
            assert body_of(rejected)['changes'][0]['author'] == 'bo'
            stated = await harness.put(
                PROFILE,
                last,
                {'slots': 4},
                reverting=[last],
            )
            assert body_of(stated)['change']['reverted'] == [last]
            page = await harness.call('GET', '/v1/history')
            newest = body_of(page)['changes'][0]
            assert (newest['author'], newest['reverted']) == ('ana', [last])

        run_with_harness(virtual_clock, test)

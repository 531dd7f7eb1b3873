"""Administration API over HTTP."""

import json
from pathlib import Path
from typing import Any

import pytest
import trio
from trio.testing import MockClock

from carobwalk.admin import openapi_document
from carobwalk.http import HttpRequest
from standins.memory_store import StoreFaults
from tests.admin._harness import AdminHarness, body_of, run_with_harness

_PROFILE = '/v1/profiles/filings'
_REASON = 'a test'


async def _create(harness: AdminHarness, name: str, **fields: Any) -> int:
    listed = await harness.call('GET', '/v1/profiles')
    base = int(listed.headers['etag'].strip('"'))
    body = {'name': name, 'fields': fields, 'reason': _REASON}
    created = await harness.call('POST', '/v1/profiles', body, base=base)
    assert created.status == 200
    return int(created.headers['etag'].strip('"'))


async def _issue_token(
    harness: AdminHarness, operator: str, *roles: str
) -> str:
    listed = body_of(await harness.call('GET', '/v1/profiles'))
    response = await harness.call(
        'POST',
        '/v1/tokens',
        {'operator': operator, 'roles': list(roles), 'reason': _REASON},
        base=listed['revision'],
    )
    token: str = body_of(response)['token']
    return token


class TestProfiles:
    """Reads and writes of profiles."""

    def test_profile_lifecycle(self, virtual_clock: MockClock) -> None:
        """A profile is created, shown, edited, reverted and deleted."""

        async def test(harness: AdminHarness) -> None:
            await _create(harness, 'base', slots=4)
            revision = await _create(harness, 'filings', parent='base')
            shown = body_of(await harness.call('GET', _PROFILE))
            assert shown['fields'] == {'parent': 'base'}
            assert shown['resolved']['slots'] == 4
            edited = await harness.put(_PROFILE, revision, {'slots': 3})
            assert body_of(edited)['outcome'] == 'accepted'
            change = body_of(edited)['change']
            assert change['fields'] == [
                {'field': 'parent', 'before': 'base', 'after': None},
                {'field': 'slots', 'before': None, 'after': 3},
            ]
            reverted = await harness.call(
                'POST',
                f'{_PROFILE}/revert',
                {'revision': change['revision'], 'reason': _REASON},
            )
            assert body_of(reverted)['change']['reverted'] == []
            shown = body_of(await harness.call('GET', _PROFILE))
            assert shown['fields'] == {'parent': 'base'}
            deleted = await harness.call(
                'DELETE',
                _PROFILE,
                {'reason': _REASON},
                base=shown['revision'],
            )
            assert deleted.status == 200
            missing = await harness.call('GET', _PROFILE)
            assert (missing.status, body_of(missing)['kind']) == (
                404,
                'not-found',
            )

        run_with_harness(virtual_clock, test)

    def test_stale_write(self, virtual_clock: MockClock) -> None:
        """A stale write is rejected with the conflicting change."""

        async def test(harness: AdminHarness) -> None:
            revision = await _create(harness, 'filings', slots=4)
            await harness.put(_PROFILE, revision, {'slots': 5})
            rejected = await harness.put(_PROFILE, revision, {'slots': 6})
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
            revision = await _create(harness, 'filings')
            response = await harness.put(
                _PROFILE,
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
            revision = await _create(harness, 'filings')
            await harness.call(
                'PUT',
                '/v1/services/case-registry',
                {'profile': 'filings', 'reason': _REASON},
                base=revision,
            )
            rejected = await harness.call(
                'DELETE',
                _PROFILE,
                {'reason': _REASON},
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
            revision = await _create(harness, 'filings', slots=4)
            await harness.call(
                'PUT',
                '/v1/services/case-registry',
                {'profile': 'filings', 'reason': _REASON},
                base=revision,
            )
            tried = await harness.call(
                'PUT',
                _PROFILE,
                {'fields': {'slots': 9}, 'reason': _REASON},
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
            revision = await _create(harness, 'filings', slots=4)
            await harness.put(_PROFILE, revision, {'slots': 5})
            await harness.put(_PROFILE, 2, {'slots': 6})
            response = await harness.call(
                'POST',
                f'{_PROFILE}/revert',
                {'revision': 2, 'reason': _REASON},
            )
            assert body_of(response)['kind'] == 'stale-revision'

        run_with_harness(virtual_clock, test)

    def test_revert_of_another_operators_change(
        self,
        virtual_clock: MockClock,
    ) -> None:
        """The revert must be declared, and the history records it."""

        async def test(harness: AdminHarness) -> None:
            ana = await _issue_token(harness, 'ana', 'read', 'edit', 'assign')
            harness.token = ana
            bo = await _issue_token(harness, 'bo', 'read', 'edit')
            revision = await _create(harness, 'filings', slots=4)
            harness.token = bo
            edited = body_of(
                await harness.put(_PROFILE, revision, {'slots': 5})
            )
            harness.token = ana
            last = edited['revision']
            rejected = await harness.put(_PROFILE, last, {'slots': 4})
            assert body_of(rejected)['kind'] == 'reverts-another'
            assert body_of(rejected)['changes'][0]['author'] == 'bo'
            stated = await harness.put(
                _PROFILE,
                last,
                {'slots': 4},
                reverting=[last],
            )
            assert body_of(stated)['change']['reverted'] == [last]
            page = await harness.call('GET', '/v1/history')
            newest = body_of(page)['changes'][0]
            assert (newest['author'], newest['reverted']) == ('ana', [last])

        run_with_harness(virtual_clock, test)


class TestOutcomes:
    """Outcomes of writes while the store fails."""

    def test_store_down(self, virtual_clock: MockClock) -> None:
        """Reads show the active configuration; writes have a known outcome."""

        async def test(harness: AdminHarness) -> None:
            revision = await _create(harness, 'filings', slots=4)
            harness.process.store.inject(StoreFaults(down=True))
            shown = body_of(await harness.call('GET', _PROFILE))
            assert shown['source'] == 'in-force'
            rejected = await harness.put(_PROFILE, revision, {'slots': 5})
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
            revision = await _create(harness, 'filings', slots=4)
            store = harness.process.store
            store.inject(StoreFaults(holds_writes=True, timeout=1))
            body = {'fields': {'slots': 5}, 'reason': _REASON}
            response = await harness.call(
                'PUT',
                _PROFILE,
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
                _PROFILE,
                body,
                base=revision,
                write_id='w-5',
            )
            assert body_of(again)['repeated'] is True
            missing = await harness.call('GET', '/v1/writes/other')
            assert body_of(missing)['kind'] == 'change-not-kept'

        run_with_harness(virtual_clock, test)


class TestState:
    """Status, explanation and quarantine."""

    def test_status(self, virtual_clock: MockClock) -> None:
        """The status counts up-to-date processes and lists lagging ones."""

        async def test(harness: AdminHarness) -> None:
            await _create(harness, 'filings')
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
            revision = await _create(harness, 'filings', keyed=keyed)
            await harness.call(
                'PUT',
                '/v1/services/case-registry',
                {'profile': 'filings', 'reason': _REASON},
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


class TestAccess:
    """Tokens and roles."""

    def test_roles(self, virtual_clock: MockClock) -> None:
        """A token grants only its roles, and its hash is redacted."""

        async def test(harness: AdminHarness) -> None:
            harness.token = await _issue_token(
                harness,
                'ana',
                'read',
                'edit',
                'assign',
            )
            reader = await _issue_token(harness, 'bo', 'read')
            harness.token = reader
            body = {'name': 'x', 'fields': {}, 'reason': _REASON}
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
            ana = await _issue_token(harness, 'ana', 'read', 'edit', 'assign')
            rejected = await harness.call('GET', '/v1/profiles')
            assert rejected.status == 401
            harness.token = ana
            bo = await _issue_token(harness, 'bo', 'read')
            revoked = await harness.call(
                'DELETE',
                '/v1/tokens/bo',
                {'reason': _REASON},
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
            await _issue_token(harness, 'ana', 'read', 'edit', 'assign')
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


class TestRequests:
    """Malformed requests."""

    @pytest.mark.parametrize(
        ('method', 'path', 'body', 'status', 'kind'),
        [
            ('GET', '/v1/none', None, 404, 'unknown-path'),
            ('PATCH', '/v1/profiles', None, 405, 'method-not-allowed'),
            ('POST', '/v1/profiles', {'name': 1}, 400, 'bad-request'),
            ('PUT', _PROFILE, {'fields': {}}, 400, 'bad-request'),
            (
                'PUT',
                _PROFILE,
                {'fields': {}, 'reason': 'r'},
                428,
                'revision-required',
            ),
        ],
    )
    def test_rejected(
        self,
        virtual_clock: MockClock,
        method: str,
        path: str,
        body: Any,
        status: int,
        kind: str,
    ) -> None:
        """Each failure has its own status and kind, and a way out."""

        async def test(harness: AdminHarness) -> None:
            response = await harness.call(method, path, body)
            assert (response.status, body_of(response)['kind']) == (
                status,
                kind,
            )
            assert body_of(response)['way_out']

        run_with_harness(virtual_clock, test)

    def test_bad_revision(self, virtual_clock: MockClock) -> None:
        """An If-Match header that is not a revision is a bad request."""

        async def test(harness: AdminHarness) -> None:
            body = {'fields': {}, 'reason': _REASON}
            response = await harness.call('PUT', _PROFILE, body, base=-1)
            assert body_of(response)['kind'] == 'bad-request'

        run_with_harness(virtual_clock, test)


class TestDocument:
    """The OpenAPI document."""

    def test_committed(self) -> None:
        """The committed document matches the generated one."""
        path = Path(__file__).parents[2] / 'docs' / 'openapi.json'
        assert json.loads(path.read_text()) == json.loads(
            json.dumps(openapi_document()),
        )

    def test_served_without_a_issue_token(
        self, virtual_clock: MockClock
    ) -> None:
        """The document needs no authentication."""

        async def test(harness: AdminHarness) -> None:
            request = HttpRequest('GET', '/v1/openapi.json')
            response = await harness.api(request)
            assert body_of(response)['openapi'] == '3.1.0'

        run_with_harness(virtual_clock, test)

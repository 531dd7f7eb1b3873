"""Administration over HTTP."""

import json
from pathlib import Path
from typing import Any

import pytest
import trio
from trio.testing import MockClock

from carobwalk.admin import openapi_document
from carobwalk.http import HttpRequest
from standins.memory_store import StoreFaults
from tests.admin._office import Office, body_of, run_office

_PROFILE = '/v1/profiles/filings'
_REASON = 'a test'


async def _create(office: Office, name: str, **fields: Any) -> int:
    listed = await office.call('GET', '/v1/profiles')
    base = int(listed.headers['etag'].strip('"'))
    body = {'name': name, 'fields': fields, 'reason': _REASON}
    created = await office.call('POST', '/v1/profiles', body, base=base)
    assert created.status == 200
    return int(created.headers['etag'].strip('"'))


async def _token(office: Office, operator: str, *roles: str) -> str:
    listed = body_of(await office.call('GET', '/v1/profiles'))
    answer = await office.call(
        'POST',
        '/v1/tokens',
        {'operator': operator, 'roles': list(roles), 'reason': _REASON},
        base=listed['revision'],
    )
    token: str = body_of(answer)['token']
    return token


class TestProfiles:
    """Profiles from creation to deletion."""

    def test_life_of_a_profile(self, virtual_clock: MockClock) -> None:
        """A profile is created, shown, edited, reverted and deleted."""

        async def test(office: Office) -> None:
            await _create(office, 'base', slots=4)
            revision = await _create(office, 'filings', parent='base')
            shown = body_of(await office.call('GET', _PROFILE))
            assert shown['fields'] == {'parent': 'base'}
            assert shown['resolved']['slots'] == 4
            edited = await office.put(_PROFILE, revision, {'slots': 3})
            assert body_of(edited)['outcome'] == 'accepted'
            change = body_of(edited)['change']
            assert change['fields'] == [
                {'field': 'parent', 'before': 'base', 'after': None},
                {'field': 'slots', 'before': None, 'after': 3},
            ]
            back = await office.call(
                'POST',
                f'{_PROFILE}/revert',
                {'revision': change['revision'], 'reason': _REASON},
            )
            assert body_of(back)['change']['reverted'] == []
            shown = body_of(await office.call('GET', _PROFILE))
            assert shown['fields'] == {'parent': 'base'}
            gone = await office.call(
                'DELETE',
                _PROFILE,
                {'reason': _REASON},
                base=shown['revision'],
            )
            assert gone.status == 200
            missing = await office.call('GET', _PROFILE)
            assert (missing.status, body_of(missing)['kind']) == (
                404,
                'not-found',
            )

        run_office(virtual_clock, test)

    def test_stale_write(self, virtual_clock: MockClock) -> None:
        """The loser of a race gets the winner's change."""

        async def test(office: Office) -> None:
            revision = await _create(office, 'filings', slots=4)
            await office.put(_PROFILE, revision, {'slots': 5})
            lost = await office.put(_PROFILE, revision, {'slots': 6})
            error = body_of(lost)
            assert (lost.status, error['kind']) == (412, 'stale-revision')
            assert error['outcome'] == 'conflict'
            assert error['current_revision'] == 2
            assert error['changes'][0]['fields'][0]['after'] == 5
            assert 'read the subject again' in error['way_out']

        run_office(virtual_clock, test)

    def test_all_problems(self, virtual_clock: MockClock) -> None:
        """A refused profile lists every problem."""

        async def test(office: Office) -> None:
            revision = await _create(office, 'filings')
            answer = await office.put(
                _PROFILE,
                revision,
                {'slots': 0, 'colour': 'green', 'parent': 'none'},
            )
            assert answer.status == 422
            kinds = [found['kind'] for found in body_of(answer)['problems']]
            assert sorted(kinds) == [
                'out-of-range',
                'unknown-field',
                'unknown-parent',
            ]

        run_office(virtual_clock, test)

    def test_deletion_in_use(self, virtual_clock: MockClock) -> None:
        """The users of a profile are named when its deletion is refused."""

        async def test(office: Office) -> None:
            revision = await _create(office, 'filings')
            await office.call(
                'PUT',
                '/v1/services/case-registry',
                {'profile': 'filings', 'reason': _REASON},
                base=revision,
            )
            refused = await office.call(
                'DELETE',
                _PROFILE,
                {'reason': _REASON},
                base=revision,
            )
            assert (refused.status, body_of(refused)['kind']) == (409, 'in-use')
            assert body_of(refused)['services'] == ['case-registry']

        run_office(virtual_clock, test)

    def test_dry_run(self, virtual_clock: MockClock) -> None:
        """A trial shows which services change, and changes nothing."""

        async def test(office: Office) -> None:
            revision = await _create(office, 'filings', slots=4)
            await office.call(
                'PUT',
                '/v1/services/case-registry',
                {'profile': 'filings', 'reason': _REASON},
                base=revision,
            )
            tried = await office.call(
                'PUT',
                _PROFILE,
                {'fields': {'slots': 9}, 'reason': _REASON},
                base=revision,
                query={'dry_run': 'true'},
            )
            view = body_of(tried)
            assert view['outcome'] == 'dry-run'
            assert view['effects'][0]['service'] == 'case-registry'
            listed = body_of(await office.call('GET', '/v1/services'))
            assert listed['revision'] == 2

        run_office(virtual_clock, test)

    def test_revert_after_a_later_change(
        self,
        virtual_clock: MockClock,
    ) -> None:
        """A change that another built on is not taken back quietly."""

        async def test(office: Office) -> None:
            revision = await _create(office, 'filings', slots=4)
            await office.put(_PROFILE, revision, {'slots': 5})
            await office.put(_PROFILE, 2, {'slots': 6})
            answer = await office.call(
                'POST',
                f'{_PROFILE}/revert',
                {'revision': 2, 'reason': _REASON},
            )
            assert body_of(answer)['kind'] == 'stale-revision'

        run_office(virtual_clock, test)

    def test_taking_back_anothers_change(
        self,
        virtual_clock: MockClock,
    ) -> None:
        """It needs to be stated, and the history shows it."""

        async def test(office: Office) -> None:
            ana = await _token(office, 'ana', 'read', 'edit', 'assign')
            office.token = ana
            bo = await _token(office, 'bo', 'read', 'edit')
            revision = await _create(office, 'filings', slots=4)
            office.token = bo
            edited = body_of(await office.put(_PROFILE, revision, {'slots': 5}))
            office.token = ana
            last = edited['revision']
            refused = await office.put(_PROFILE, last, {'slots': 4})
            assert body_of(refused)['kind'] == 'reverts-another'
            assert body_of(refused)['changes'][0]['author'] == 'bo'
            stated = await office.put(
                _PROFILE,
                last,
                {'slots': 4},
                reverting=[last],
            )
            assert body_of(stated)['change']['reverted'] == [last]
            page = await office.call('GET', '/v1/history')
            newest = body_of(page)['changes'][0]
            assert (newest['author'], newest['reverted']) == ('ana', [last])

        run_office(virtual_clock, test)


class TestOutcomes:
    """What a write is told while the store fails."""

    def test_store_down(self, virtual_clock: MockClock) -> None:
        """Reads show what is in force; writes are refused for certain."""

        async def test(office: Office) -> None:
            revision = await _create(office, 'filings', slots=4)
            office.process.store.inject(StoreFaults(down=True))
            shown = body_of(await office.call('GET', _PROFILE))
            assert shown['source'] == 'in-force'
            refused = await office.put(_PROFILE, revision, {'slots': 5})
            error = body_of(refused)
            assert (refused.status, error['outcome']) == (503, 'refused')
            assert 'nothing was changed' in error['way_out']
            history = await office.call('GET', '/v1/history')
            assert history.status == 503

        run_office(virtual_clock, test)

    def test_unknown_is_settled_by_a_read(
        self,
        virtual_clock: MockClock,
    ) -> None:
        """A write without an answer is unknown until it is found."""

        async def test(office: Office) -> None:
            revision = await _create(office, 'filings', slots=4)
            store = office.process.store
            store.inject(StoreFaults(holds_writes=True, timeout=1))
            body = {'fields': {'slots': 5}, 'reason': _REASON}
            answer = await office.call(
                'PUT',
                _PROFILE,
                body,
                base=revision,
                write_id='w-5',
            )
            error = body_of(answer)
            assert (answer.status, error['outcome']) == (504, 'unknown')
            assert error['write_id'] == 'w-5'
            store.release_held()
            store.inject(StoreFaults())
            found = await office.call('GET', '/v1/writes/w-5')
            assert body_of(found)['revision'] == 2
            again = await office.call(
                'PUT',
                _PROFILE,
                body,
                base=revision,
                write_id='w-5',
            )
            assert body_of(again)['repeated'] is True
            missing = await office.call('GET', '/v1/writes/other')
            assert body_of(missing)['kind'] == 'change-not-kept'

        run_office(virtual_clock, test)


class TestState:
    """Status, explanation and quarantine."""

    def test_status(self, virtual_clock: MockClock) -> None:
        """The status tells in force at n of m, and who lags."""

        async def test(office: Office) -> None:
            await _create(office, 'filings')
            await trio.sleep(4)
            office.fleet.stop(office.fleet.processes['entry-002'])
            view = body_of(await office.call('GET', '/v1/status'))
            assert (view['in_force'], view['processes']) == (2, 3)
            assert view['lagging'][0]['process'] == 'entry-002'
            later = await office.call(
                'GET',
                '/v1/status',
                query={'revision': '9'},
            )
            assert body_of(later)['in_force'] == 0

        run_office(virtual_clock, test)

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
        """It tells profile, shard, owner and dispatcher, and why."""

        async def test(office: Office) -> None:
            revision = await _create(office, 'filings', keyed=keyed)
            await office.call(
                'PUT',
                '/v1/services/case-registry',
                {'profile': 'filings', 'reason': _REASON},
                base=revision,
            )
            query = {'service': 'case-registry', 'key': 'case-17'}
            view = body_of(await office.call('GET', '/v1/explain', query=query))
            assert view['profile'] == 'filings'
            assert view['ownership']['owner'] == owner
            assert view['ownership']['why']
            unknown = await office.call(
                'GET',
                '/v1/explain',
                query={'service': 'x', 'key': 'y'},
            )
            assert unknown.status == 404

        run_office(virtual_clock, test)

    def test_quarantine(self, virtual_clock: MockClock) -> None:
        """A request is listed, cleared once, and then unknown."""

        async def test(office: Office) -> None:
            listed = body_of(await office.call('GET', '/v1/quarantine'))
            assert listed['requests'][0]['identity'] == 'd1'
            cleared = await office.call('DELETE', '/v1/quarantine/d1')
            assert cleared.status == 200
            assert office.quarantine.cleared_by == ['bootstrap']
            again = await office.call('DELETE', '/v1/quarantine/d1')
            assert body_of(again)['kind'] == 'not-quarantined'

        run_office(virtual_clock, test)


class TestAccess:
    """Tokens and roles."""

    def test_roles(self, virtual_clock: MockClock) -> None:
        """A token gives just its roles, and its hash is not shown."""

        async def test(office: Office) -> None:
            office.token = await _token(
                office,
                'ana',
                'read',
                'edit',
                'assign',
            )
            reader = await _token(office, 'bo', 'read')
            office.token = reader
            body = {'name': 'x', 'fields': {}, 'reason': _REASON}
            refused = await office.call('POST', '/v1/profiles', body, base=2)
            assert (refused.status, body_of(refused)['kind']) == (
                403,
                'forbidden',
            )
            page = await office.call('GET', '/v1/history')
            assert b'argon2' not in page.body
            assert b'(hidden)' in page.body

        run_office(virtual_clock, test)

    @pytest.mark.parametrize(
        'token',
        ['', 'bootstrap', 'bootstrap.wrong', 'nobody.first-secret', 'ana.x'],
    )
    def test_invalid_tokens(
        self,
        virtual_clock: MockClock,
        token: str,
    ) -> None:
        """A call without a valid token is refused."""

        async def test(office: Office) -> None:
            office.token = token
            refused = await office.call('GET', '/v1/profiles')
            assert refused.status == 401
            assert 'Bearer' in body_of(refused)['way_out']

        run_office(virtual_clock, test)

    def test_bootstrap_ends(self, virtual_clock: MockClock) -> None:
        """The first token ends when an operator has one; tokens can end."""

        async def test(office: Office) -> None:
            bootstrap = office.token
            ana = await _token(office, 'ana', 'read', 'edit', 'assign')
            refused = await office.call('GET', '/v1/profiles')
            assert refused.status == 401
            office.token = ana
            bo = await _token(office, 'bo', 'read')
            ended = await office.call(
                'DELETE',
                '/v1/tokens/bo',
                {'reason': _REASON},
                base=2,
            )
            assert ended.status == 200
            for token in (bo, bootstrap):
                office.token = token
                refused = await office.call('GET', '/v1/profiles')
                assert refused.status == 401

        run_office(virtual_clock, test)

    def test_process_that_knows_no_tokens(
        self,
        virtual_clock: MockClock,
    ) -> None:
        """The first token is no way in while the operators are not known."""

        async def test(office: Office) -> None:
            await _token(office, 'ana', 'read', 'edit', 'assign')
            fleet = office.fleet
            for process in tuple(fleet.processes.values()):
                fleet.stop(process)
            fleet.store_faults = StoreFaults(down=True)
            started = Office(fleet, fleet.start(fleet.endpoints[1]))
            refused = await started.call('GET', '/v1/profiles')
            assert refused.status == 503
            assert body_of(refused)['kind'] == 'not-ready'
            fleet.store_faults = StoreFaults()
            fleet.apply_store_faults()
            await trio.sleep(3)
            refused = await started.call('GET', '/v1/profiles')
            assert refused.status == 401

        run_office(virtual_clock, test)

    def test_flood_of_tokens(self, virtual_clock: MockClock) -> None:
        """Checks that would pile up are refused at once."""

        async def test(office: Office) -> None:
            office.token = 'bootstrap.wrong'
            statuses: list[int] = []

            async def call() -> None:
                answer = await office.call('GET', '/v1/profiles')
                statuses.append(answer.status)

            async with trio.open_nursery() as nursery:
                for _ in range(20):
                    nursery.start_soon(call)
            assert set(statuses) == {401, 429}

        run_office(virtual_clock, test)


class TestRequests:
    """Requests that can't be answered."""

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
    def test_refused(
        self,
        virtual_clock: MockClock,
        method: str,
        path: str,
        body: Any,
        status: int,
        kind: str,
    ) -> None:
        """Each gets its own status and kind, with a way out."""

        async def test(office: Office) -> None:
            answer = await office.call(method, path, body)
            assert (answer.status, body_of(answer)['kind']) == (status, kind)
            assert body_of(answer)['way_out']

        run_office(virtual_clock, test)

    def test_bad_revision(self, virtual_clock: MockClock) -> None:
        """An If-Match that is no revision is a bad request."""

        async def test(office: Office) -> None:
            body = {'fields': {}, 'reason': _REASON}
            answer = await office.call('PUT', _PROFILE, body, base=-1)
            assert body_of(answer)['kind'] == 'bad-request'

        run_office(virtual_clock, test)


class TestDocument:
    """The OpenAPI document."""

    def test_committed(self) -> None:
        """The committed document is the one that is served."""
        path = Path(__file__).parents[2] / 'docs' / 'openapi.json'
        assert json.loads(path.read_text()) == json.loads(
            json.dumps(openapi_document()),
        )

    def test_served_without_a_token(self, virtual_clock: MockClock) -> None:
        """Anyone may read the document."""

        async def test(office: Office) -> None:
            request = HttpRequest('GET', '/v1/openapi.json')
            answer = await office.api(request)
            assert body_of(answer)['openapi'] == '3.1.0'

        run_office(virtual_clock, test)

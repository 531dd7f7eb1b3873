"""Tests of malformed requests."""

from typing import Any

import pytest
from trio.testing import MockClock

from tests.admin._harness import AdminHarness, body_of, run_with_harness
from tests.admin._requests import PROFILE, REASON


class TestRequests:
    """Malformed requests."""

    @pytest.mark.parametrize(
        ('method', 'path', 'body', 'status', 'kind'),
        [
            ('GET', '/v1/none', None, 404, 'unknown-path'),
            ('PATCH', '/v1/profiles', None, 405, 'method-not-allowed'),
            ('POST', '/v1/profiles', {'name': 1}, 400, 'bad-request'),
            ('PUT', PROFILE, {'fields': {}}, 400, 'bad-request'),
            (
                'PUT',
                PROFILE,
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
            body = {'fields': {}, 'reason': REASON}
            response = await harness.call('PUT', PROFILE, body, base=-1)
            assert body_of(response)['kind'] == 'bad-request'

        run_with_harness(virtual_clock, test)

"""Tests of the OpenAPI document."""

import json
from pathlib import Path

from trio.testing import MockClock

from carobwalk.admin import openapi_document
from carobwalk.http import HttpRequest
from tests.admin._harness import AdminHarness, body_of, run_with_harness


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

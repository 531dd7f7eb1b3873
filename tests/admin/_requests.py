"""Requests that the tests of the administration API share."""

from typing import Any

from tests.admin._harness import AdminHarness, body_of

PROFILE = '/v1/profiles/filings'
REASON = 'a test'


async def create_profile(
    harness: AdminHarness, name: str, **fields: Any
) -> int:
    """Create a profile and return the revision of the configuration."""
    listed = await harness.call('GET', '/v1/profiles')
    base = int(listed.headers['etag'].strip('"'))
    body = {'name': name, 'fields': fields, 'reason': REASON}
    created = await harness.call('POST', '/v1/profiles', body, base=base)
    assert created.status == 200
    return int(created.headers['etag'].strip('"'))


async def issue_token(harness: AdminHarness, operator: str, *roles: str) -> str:
    """Issue a token to an operator and return it."""
    listed = body_of(await harness.call('GET', '/v1/profiles'))
    response = await harness.call(
        'POST',
        '/v1/tokens',
        {'operator': operator, 'roles': list(roles), 'reason': REASON},
        base=listed['revision'],
    )
    token: str = body_of(response)['token']
    return token

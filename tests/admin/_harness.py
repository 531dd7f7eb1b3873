"""Test harness: the administration API over a few processes."""

import json
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

import argon2
import trio
from trio.testing import MockClock

from benchmarks._config_fleet import Fleet, Process
from carobwalk.admin import (
    AdministrationApi,
    AdministrationParts,
    Authenticator,
    OwnershipExplanation,
    QuarantinedRequest,
    openapi_document,
)
from carobwalk.events import Event
from carobwalk.http import HttpRequest, HttpResponse
from carobwalk.model import Key, OperatorName, ServiceName
from carobwalk.profiles import ConfigurationHistory
from tests.admin._schema import SchemaChecker

SECRET = 'first-secret'
BOOTSTRAP = f'bootstrap.{SECRET}'
SECRET_HASH = argon2.PasswordHasher(
    time_cost=1,
    memory_cost=8,
    parallelism=1,
).hash(SECRET)
_DOCUMENT = openapi_document()

EventListener = Callable[[Process, Event], None]


class FakeQuarantine:
    """Quarantine with one request."""

    def __init__(self) -> None:
        self.cleared_by: list[str] = []

    def entries(self) -> tuple[QuarantinedRequest, ...]:
        """Return the request unless it was cleared."""
        if self.cleared_by:
            return ()
        return (QuarantinedRequest('d1', 'dat-hang', ('s1', 's2'), 9.5),)

    async def clear(self, identity: str, operator: OperatorName) -> bool:
        """Record who cleared the request."""
        if identity != 'd1' or self.cleared_by:
            return False
        self.cleared_by.append(operator)
        return True


def explain(service: ServiceName, key: Key) -> OwnershipExplanation:
    """Return a fixed explanation."""
    return OwnershipExplanation(7, 'server-3', 'entry-001', '4.2', ('live',))


class AdminHarness:
    """Administration API of one process; validates every response.

    Args:
        fleet: All processes.
        process: Process whose API is called.
    """

    def __init__(self, fleet: Fleet, process: Process) -> None:
        self.fleet = fleet
        self.process = process
        self.quarantine = FakeQuarantine()
        self.token = BOOTSTRAP
        self.api = AdministrationApi(
            AdministrationParts(
                repository=process.repository,
                history=ConfigurationHistory(process.store),
                follower=process.follower,
                authenticator=Authenticator(
                    process.follower.configuration,
                    SECRET_HASH,
                ),
                explain_ownership=explain,
                quarantine=self.quarantine,
            ),
        )

    async def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        *,
        base: int | None = None,
        query: dict[str, str] | None = None,
        write_id: str | None = None,
    ) -> HttpResponse:
        """Make a request and validate the response against its schema."""
        headers = {'authorization': f'Bearer {self.token}'}
        if base is not None:
            headers['if-match'] = f'"{base}"'
        if write_id:
            headers['idempotency-key'] = write_id
        content = b'' if body is None else json.dumps(body).encode()
        response = await self.api(
            HttpRequest(method, path, query or {}, headers, content),
        )
        check_response(method, path, response)
        return response

    async def put(
        self,
        path: str,
        base: int,
        fields: dict[str, Any],
        **extra: Any,
    ) -> HttpResponse:
        """Edit a profile."""
        body = {'fields': fields, 'reason': 'a test', **extra}
        return await self.call('PUT', path, body, base=base)


def check_response(method: str, path: str, response: HttpResponse) -> None:
    """Validate a response against the OpenAPI document."""
    operation = _find_operation(method, path)
    if operation is None:
        assert response.status in {404, 405}
        return
    described = operation['responses'][str(response.status)]
    if '$ref' in described:
        described = _DOCUMENT['components']['responses']['Error']
    schema = described['content']['application/json']['schema']
    value = json.loads(response.body)
    assert not SchemaChecker(_DOCUMENT).faults(value, schema)


def _find_operation(method: str, path: str) -> dict[str, Any] | None:
    for known, operations in _DOCUMENT['paths'].items():
        pairs = list(zip(known.split('/'), path.split('/'), strict=False))
        if known.count('/') == path.count('/') and all(
            own.startswith('{') or own == given for own, given in pairs
        ):
            return operations.get(method.lower())
    return None


def _ignore(process: Process, event: Event) -> None:
    """Drop an event."""


@asynccontextmanager
async def open_harness(
    on_event: EventListener = _ignore,
) -> AsyncIterator[AdminHarness]:
    """Run three processes and yield the administration API of one.

    Args:
        on_event: Receives the events of all processes.
    """
    async with trio.open_nursery() as nursery:
        fleet = Fleet(3, 1, nursery, on_event)
        fleet.watchers = frozenset(('entry-000',))
        for endpoint in fleet.endpoints:
            fleet.start(endpoint)
        await trio.sleep(0.05)
        yield AdminHarness(fleet, fleet.processes['entry-001'])
        nursery.cancel_scope.cancel()


def run_with_harness(
    clock: MockClock,
    test: Callable[[AdminHarness], Awaitable[None]],
) -> None:
    """Run a test with a harness on a virtual clock."""

    async def main() -> None:
        async with open_harness() as harness:
            await test(harness)

    trio.run(main, clock=clock)


def body_of(response: HttpResponse) -> Any:
    """Return the decoded JSON body of a response."""
    return json.loads(response.body)

"""Requests through a gateway to servers that send prepared bytes."""

from collections.abc import Awaitable, Callable

import trio

from carobwalk.platform import decode_configuration
from tests.gateway.harness import CONFIGURATION, Answer, GatewayHarness
from tests.http.raw_server import Ending, RawServer, Script

# The timeouts of the routes are far off, so that only a limit on the answer
# ends a request.
_PATIENT = CONFIGURATION.replace(b'"r7"', b'"r8"').replace(
    b'"timeout_s":0.6', b'"timeout_s":20'
)
# Longest wait for the router to close a connection; only a failure lasts it.
_CLOSE_SECONDS = 20
OPEN_HEAD = (
    b'HTTP/1.1 200 OK\r\nattempt-id: id1\r\nresponse-signature: 1.2.3\r\n'
)
HEAD = b'%scontent-length: 12\r\n\r\n' % OPEN_HEAD
CHUNKED_HEAD = b'%stransfer-encoding: chunked\r\n\r\n' % OPEN_HEAD
STRAY = (
    b'HTTP/1.1 200 OK\r\nattempt-id: other\r\nresponse-signature: 1.2.3\r\n'
    b'content-length: 2\r\n\r\nno'
)
WHOLE = b'%shello, world' % HEAD

Scenario = Callable[[GatewayHarness], Awaitable[None]]


def run(scenario: Scenario, answer_bytes: int = 50_000_000) -> None:
    """Run a scenario with a started gateway.

    Args:
        scenario: Scenario to run.
        answer_bytes: Maximum total size of answers in bytes.
    """

    async def body() -> None:
        async with trio.open_nursery() as nursery:
            harness = GatewayHarness(nursery, answer_bytes)
            harness.routes.offer(decode_configuration(_PATIENT).ok_value, 2)
            await harness.start()
            await scenario(harness)
            nursery.cancel_scope.cancel()

    trio.run(body)


async def add_server(
    harness: GatewayHarness,
    service: str,
    *scripts: Script,
    name: str = 's1',
) -> RawServer:
    """Start and register a server that follows scripts."""
    server = RawServer(*scripts)
    await server.start(harness.nursery)
    harness.register(service, name, server.port)
    return server


def ask(
    method: str,
    path: str,
    script: Script,
    deadline_ms: int = 20_000,
) -> tuple[Answer, RawServer]:
    """Return what a caller got from a server that follows a script."""
    gathered: list[tuple[Answer, RawServer]] = []

    async def scenario(harness: GatewayHarness) -> None:
        service = path.split('/')[1]
        server = await add_server(harness, service, script)
        answer = await harness.send_request(
            method, path, deadline_ms=str(deadline_ms)
        )
        with trio.fail_after(_CLOSE_SECONDS):
            if script.ending in {Ending.WAIT, Ending.REPEAT}:
                await server.closed.wait()
        gathered.append((answer, server))

    run(scenario)
    return gathered[0]


def ask_either(first: Script) -> tuple[Answer, list[RawServer]]:
    """Return what a caller got from one of two servers.

    Args:
        first: Script for the first request, whichever server gets it. Further
            requests get a whole answer.
    """
    gathered: list[tuple[Answer, list[RawServer]]] = []

    async def scenario(harness: GatewayHarness) -> None:
        servers = [
            await add_server(harness, 'reads', first, Script(WHOLE), name=name)
            for name in ('s1', 's2')
        ]
        servers[1].requests = servers[0].requests
        answer = await harness.send_request(
            'GET', '/reads/a', deadline_ms='20000'
        )
        gathered.append((answer, servers))

    run(scenario)
    return gathered[0]

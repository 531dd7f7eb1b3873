"""Requests through the adapter to the users' platform."""

from dataclasses import dataclass
from pathlib import Path

import h11
import trio

from carobwalk.http import H11Stream, HttpClient, HttpRequest
from carobwalk.model import Address
from demo._context import DemoContext
from demo._errors import StepFailedError
from demo._registry import step
from standins.platform import RouterAddresses, fill_settings
from standins.processes import Processes, find_free_addresses

_ROUTERS = ('router-1', 'router-2')
_REQUESTS = 60
_START_TIMEOUT_SECONDS = 20
_POLL_SECONDS = 0.1
_OK = 200


@dataclass(frozen=True, slots=True)
class _Caller:
    address: Address

    async def send_requests(self, number: int) -> int:
        """Send a lookup and a claim; return how many got status 200."""
        answered = 0
        for method, path in (('GET', 'lookups'), ('POST', 'claims')):
            stream = await trio.open_tcp_stream(
                self.address.host,
                self.address.port,
            )
            http = H11Stream(stream, h11.CLIENT)
            headers = [
                ('host', 'demo.example'),
                ('attempt-id', f'{path}-{number}'),
                ('deadline-ms', '2000'),
                ('shard-key', str(number * 1000)),
                ('content-length', '0'),
            ]
            head = h11.Request(
                method=method,
                target=f'/{path}/{number}',
                headers=headers,
            )
            await http.send(head, h11.EndOfMessage())
            event = await http.receive()
            if isinstance(event, h11.Response) and event.status_code == _OK:
                answered += 1
            await trio.aclose_forcefully(stream)
        return answered


@step("the same promises over the adapter to the users' platform")
async def serve_on_platform(context: DemoContext) -> str:
    """Send lookups and claims before and after the coordinator is killed.

    Raises:
        StepFailedError: If a request was not answered.
    """
    directory = Path(context.directory) / 'platform'
    directory.mkdir()
    async with Processes(directory) as processes:
        callers = await _start(processes, directory)
        before = await _send_all(callers[-1])
        await processes.kill(_ROUTERS[0])
        after = await _send_all(callers[-1])
    expected = 2 * _REQUESTS
    if (before, after) != (expected, expected):
        raise StepFailedError(f'{before} and {after} of {expected} answered')
    return f'{before} answered, {after} after a router was killed'


async def _start(processes: Processes, directory: Path) -> list[_Caller]:
    store = find_free_addresses(1)[0]
    arguments = ('standins', 'platform', '--listen', str(store))
    await processes.start('platform', arguments, store)
    callers = []
    for name in _ROUTERS:
        callers_at, readiness, peers, metrics = find_free_addresses(4)
        addresses = RouterAddresses(
            callers=callers_at,
            readiness=readiness,
            peers=peers,
            metrics=metrics,
            store=store,
        )
        path = directory / f'{name}.json5'
        path.write_text(fill_settings(name, addresses))
        module = ('carobwalk.platform', str(path))
        await processes.start(name, module, callers_at)
        await _wait_until_ready(readiness)
        callers.append(_Caller(callers_at))
    return callers


async def _wait_until_ready(address: Address) -> None:
    client = HttpClient()
    with trio.fail_after(_START_TIMEOUT_SECONDS):
        while True:
            request = HttpRequest('GET', '/readiness')
            result = await client.send(address, request, 1)
            if result.is_ok() and result.unwrap().status == _OK:
                return
            await trio.sleep(_POLL_SECONDS)


async def _send_all(caller: _Caller) -> int:
    answered = 0
    for number in range(_REQUESTS):
        with trio.move_on_after(_START_TIMEOUT_SECONDS):
            answered += await caller.send_requests(number)
    return answered

"""Callers that use their connections until the process is gone."""

import itertools
import random
from dataclasses import dataclass
from typing import Final

import h11
import trio

from carobwalk.http import H11Stream
from soak._ledger import Ledger
from soak._router import Router, RouterState
from soak._server import WATCHED_KEYS

_DEADLINE_SECONDS: Final = 2.0
# An answer may come this much later than its deadline on a busy machine.
_LATE_SECONDS: Final = 2.0
_LONGEST_SECONDS: Final = _DEADLINE_SECONDS + _LATE_SECONDS
_PAUSE_SECONDS: Final = 0.02
_CONNECT_SECONDS: Final = 1.0
_UPLOAD_BYTES: Final = 30_000
_LONGEST_BODY: Final = 1_000_000
_WHOLE_BODY: Final = b'made by the server\n'
_SIGNATURE: Final = b'1.2.3'
_NEVER_RUN: Final = frozenset((408, 421, 429, 503))
_SUCCESS: Final = 200
_BROKEN: Final = (
    OSError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    h11.RemoteProtocolError,
)


@dataclass(frozen=True, slots=True)
class Ask:
    """One request of a caller.

    Args:
        id: Its id.
        method: Its method.
        path: Its path.
        body: Its body.
        key: The key that it is about.
    """

    id: str
    method: str
    path: str
    body: bytes = b''
    key: int = 0

    @property
    def is_at_most_once(self) -> bool:
        """Whether it may run once only."""
        return self.method == 'POST'

    def head(self) -> h11.Request:
        """Return its head."""
        return h11.Request(
            method=self.method,
            target=self.path,
            headers=[
                ('host', 'demo.example'),
                ('attempt-id', self.id),
                ('deadline-ms', str(int(_DEADLINE_SECONDS * 1000))),
                ('shard-key', str(self.key)),
                ('content-length', str(len(self.body))),
            ],
        )


@dataclass(frozen=True, slots=True)
class _Answer:
    head: h11.Response
    body: bytes


class AskMaker:
    """Makes requests of all kinds with their own ids.

    Args:
        chooser: Source of kinds and keys.
        name: Start of the ids.
    """

    def __init__(self, chooser: random.Random, name: str) -> None:
        self._chooser = chooser
        self._name = name
        self._numbers = itertools.count(1)

    def make(self) -> Ask:
        """Return the next request."""
        request_id = f'{self._name}-{next(self._numbers)}'
        kind = self._chooser.choice(('lookup', 'lookup', 'claim', 'upload'))
        if kind == 'lookup':
            return self.lookup(request_id, self._chooser.choice(WATCHED_KEYS))
        body = b'x' * _UPLOAD_BYTES if kind == 'upload' else b'claim'
        return Ask(request_id, 'POST', f'/{kind}s/{request_id}', body)

    def lookup(self, request_id: str, key: int) -> Ask:
        """Return a lookup of a key."""
        return Ask(request_id, 'GET', f'/lookups/{key}', key=key)


class Caller:
    """Sends one request after the other to a router.

    Args:
        router: The router.
        ledger: Takes what the caller sees.
    """

    def __init__(self, router: Router, ledger: Ledger) -> None:
        self._router = router
        self._ledger = ledger
        self._http: H11Stream | None = None

    async def run(self, maker: AskMaker) -> None:
        """Ask until cancelled."""
        while True:
            await trio.sleep(_PAUSE_SECONDS)
            await self.ask(maker.make())

    async def ask(self, ask: Ask) -> int:
        """Send a request; return the status, 0 for no answer."""
        if not await self._connect():
            return 0
        if ask.is_at_most_once:
            self._ledger.at_most_once_ids.add(ask.id)
        life = self._router.life
        scope = trio.CancelScope(
            deadline=trio.current_time() + _LONGEST_SECONDS
        )
        status = 0
        with scope:
            status = await self._exchange(ask)
        if scope.cancelled_caught:
            await self.close()
        if status:
            self._ledger.answered[str(status)] += 1
        else:
            self._judge_silence(ask, life, was_late=scope.cancelled_caught)
        return status

    async def close(self) -> None:
        """Give the connection up."""
        if self._http is not None:
            await trio.aclose_forcefully(self._http.stream)
            self._http = None

    async def _connect(self) -> bool:
        if self._http is not None:
            return True
        if not self._router.takes_callers:
            return False
        address = self._router.callers
        stream: trio.SocketStream | None = None
        with trio.move_on_after(_CONNECT_SECONDS):
            try:
                stream = await trio.open_tcp_stream(address.host, address.port)
            except OSError:
                return False
        if stream is None:
            return False
        self._http = H11Stream(stream, h11.CLIENT)
        return True

    async def _exchange(self, ask: Ask) -> int:
        http = self._http
        assert http is not None
        try:
            answer = await _exchange_on(http, ask)
        except _BROKEN:
            answer = None
        if answer is None:
            await self.close()
            return 0
        self._judge(ask, answer)
        if http.is_reusable:
            http.protocol.start_next_cycle()
        else:
            await self.close()
        return int(answer.head.status_code)

    def _judge(self, ask: Ask, answer: _Answer) -> None:
        head = answer.head
        headers = dict(head.headers)
        if head.status_code in _NEVER_RUN:
            self._ledger.record_refusal(ask.id, self._router.name)
        if head.status_code != _SUCCESS:
            return
        is_own = headers.get(b'attempt-id') == ask.id.encode()
        is_signed = headers.get(b'response-signature') == _SIGNATURE
        if answer.body != _WHOLE_BODY or not is_own or not is_signed:
            detail = f'{ask.id} by {self._router.name}'
            self._ledger.break_promise('success without the answer', detail)

    def _judge_silence(self, ask: Ask, life: int, *, was_late: bool) -> None:
        """Judge a request that got no answer."""
        router = self._router
        detail = f'{ask.id} by {router.name}'
        if was_late and self._should_have_answered(life):
            self._ledger.break_promise('no answer by the deadline', detail)
        has_run = self._ledger.runs_by_id[ask.id] > 0
        if has_run and life in router.planned_ends:
            self._ledger.break_promise('lost in a planned stop', detail)

    def _should_have_answered(self, life: int) -> bool:
        """Return whether the process ran all the time."""
        router = self._router
        began = trio.current_time() - _LONGEST_SECONDS
        is_running = router.state is RouterState.RUNNING
        return (
            is_running and router.life == life and router.paused_until < began
        )


async def _exchange_on(http: H11Stream, ask: Ask) -> _Answer | None:
    """Send a request and return its answer, ``None`` if there was none."""
    body = h11.Data(data=ask.body)
    await http.send(ask.head(), body, h11.EndOfMessage())
    event = await http.receive()
    if not isinstance(event, h11.Response):
        return None
    return _Answer(event, await http.read_body(_LONGEST_BODY) or b'')

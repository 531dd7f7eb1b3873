"""Callers that send requests to a router and check its responses."""

import itertools
import random
import time
from dataclasses import dataclass
from functools import partial
from typing import Final

import h11
import trio

from carobwalk.http import H11Stream
from soak._answer_record import AnswerRecord
from soak._answer_wait import AnswerWait
from soak._freeze_watch import FreezeWatch
from soak._invariant_checker import InvariantChecker
from soak._load_pattern import LoadPattern
from soak._router import Router, RouterState

_DEADLINE_SECONDS: Final = 2.0
# Slack for responses that are later than their deadline because of CPU load.
_DEADLINE_SLACK_SECONDS: Final = 2.0
_MAX_WAIT_SECONDS: Final = _DEADLINE_SECONDS + _DEADLINE_SLACK_SECONDS
_PAUSE_SECONDS: Final = 0.02
_CONNECT_TIMEOUT_SECONDS: Final = 1.0
_UPLOAD_BYTES: Final = 30_000
_MAX_BODY_BYTES: Final = 1_000_000
_EXPECTED_BODY: Final = b'made by the server\n'
_SIGNATURE_HEADER: Final = b'response-signature'
_SIGNATURE: Final = b'1.2.3'
_NOT_RUN_STATUSES: Final = frozenset((408, 421, 429, 503))
_SUCCESS: Final = 200
_CONNECTION_ERRORS: Final = (
    OSError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    h11.RemoteProtocolError,
)


@dataclass(frozen=True, slots=True)
class Ask:
    """One request of a caller.

    Args:
        id: Unique id, sent as ``attempt-id``.
        method: HTTP method.
        path: Request target.
        body: Request body.
        key: Key of the request, sent as ``shard-key``.
    """

    id: str
    method: str
    path: str
    body: bytes = b''
    key: int = 0

    @property
    def is_at_most_once(self) -> bool:
        """Whether it must not run more than once."""
        return self.method == 'POST'

    def head(self) -> h11.Request:
        """Return the request head, with the deadline of the soak."""
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

    @property
    def is_signed(self) -> bool:
        """Whether a backend server made it: routers cannot sign."""
        return dict(self.head.headers).get(_SIGNATURE_HEADER) == _SIGNATURE


@dataclass(frozen=True, slots=True)
class Reply:
    """Result of a request.

    Args:
        status: Status of the response, 0 without one.
        is_from_server: Whether a backend server made the response.
    """

    status: int
    is_from_server: bool = False


_NO_REPLY: Final = Reply(0)


class RequestGenerator:
    """Generates requests of all kinds with unique ids.

    Args:
        rng: Source of kinds and keys.
        name: Prefix of the ids.
        pattern: Chooses the keys of lookups.
    """

    def __init__(
        self, rng: random.Random, name: str, pattern: LoadPattern
    ) -> None:
        self._rng = rng
        self._pattern = pattern
        self._name = name
        self._numbers = itertools.count(1)

    def generate(self) -> Ask:
        """Return the next request."""
        request_id = f'{self._name}-{next(self._numbers)}'
        kind = self._rng.choice(('lookup', 'lookup', 'claim', 'upload'))
        if kind == 'lookup':
            return self.lookup(request_id, self._pattern.choose(self._rng))
        body = b'x' * _UPLOAD_BYTES if kind == 'upload' else b'claim'
        return Ask(request_id, 'POST', f'/{kind}s/{request_id}', body)

    def lookup(self, request_id: str, key: int) -> Ask:
        """Return a lookup request for a key."""
        return Ask(request_id, 'GET', f'/lookups/{key}', key=key)


class Caller:
    """Sends requests sequentially to a router over one connection.

    Args:
        router: Router that is called.
        checker: Checks the outcomes of the requests.
        watch: Records freezes of this process. They are no part of the wait
            for an answer, nor are the router's waits for a processor.
    """

    def __init__(
        self, router: Router, checker: InvariantChecker, watch: FreezeWatch
    ) -> None:
        self._router = router
        self._checker = checker
        self._watch = watch
        self._http: H11Stream | None = None

    async def run(self, generator: RequestGenerator) -> None:
        """Send generated requests until cancelled."""
        while True:
            await trio.sleep(_PAUSE_SECONDS)
            await self.send(generator.generate())

    async def send(self, request: Ask) -> Reply:
        """Send a request and check its response."""
        if not await self._connect():
            return _NO_REPLY
        if request.is_at_most_once:
            self._checker.at_most_once_ids.add(request.id)
        incarnation = self._router.incarnation
        sent_at = time.time()
        wait = AnswerWait(_MAX_WAIT_SECONDS, self._watch, self._router.waits)
        reply = await wait.receive(partial(self._exchange, request))
        if reply is None:
            await self.close()
            if _was_running_since(wait.since, self._router, incarnation):
                self._report('no answer by the deadline', request)
        if reply is not None and reply.status:
            self._record_answer(request, reply, incarnation, sent_at)
            return reply
        has_run = self._checker.runs_by_id[request.id] > 0
        # A graceful stop must not lose a request that a server ran.
        if has_run and incarnation in self._router.graceful_stops:
            self._report('lost in a planned stop', request)
        return _NO_REPLY

    async def close(self) -> None:
        """Drop the connection."""
        if self._http is not None:
            await trio.aclose_forcefully(self._http.stream)
            self._http = None

    async def _connect(self) -> bool:
        if self._http is not None:
            return True
        if not self._router.accepts_callers:
            return False
        address = self._router.caller_address
        stream: trio.SocketStream | None = None
        with trio.move_on_after(_CONNECT_TIMEOUT_SECONDS):
            try:
                stream = await trio.open_tcp_stream(address.host, address.port)
            except OSError:
                return False
        if stream is None:
            return False
        self._http = H11Stream(stream, h11.CLIENT)
        return True

    async def _exchange(self, request: Ask) -> Reply:
        http = self._http
        assert http is not None
        try:
            answer = await _exchange_on(http, request)
        except _CONNECTION_ERRORS:
            answer = None
        if answer is None:
            await self.close()
            return _NO_REPLY
        self._check_answer(request, answer)
        if http.is_reusable:
            http.protocol.start_next_cycle()
        else:
            await self.close()
        return Reply(answer.head.status_code, answer.is_signed)

    def _check_answer(self, request: Ask, answer: _Answer) -> None:
        head = answer.head
        headers = dict(head.headers)
        if head.status_code in _NOT_RUN_STATUSES:
            self._checker.record_refusal(request.id, self._router.name)
        if head.status_code != _SUCCESS:
            return
        is_own = headers.get(b'attempt-id') == request.id.encode()
        if answer.body != _EXPECTED_BODY or not is_own or not answer.is_signed:
            detail = f'{request.id} by {self._router.name}'
            self._checker.record_violation('success without the answer', detail)

    def _record_answer(
        self, request: Ask, reply: Reply, incarnation: int, sent_at: float
    ) -> None:
        self._checker.record_answer(
            AnswerRecord(
                request=request.id,
                status=reply.status,
                router=self._router.name,
                incarnation=incarnation,
                sent_at=sent_at,
                received_at=time.time(),
                is_from_server=reply.is_from_server,
            )
        )

    def _report(self, guarantee: str, request: Ask) -> None:
        detail = f'{request.id} by {self._router.name}'
        self._checker.record_violation(guarantee, detail)


def _was_running_since(since: float, router: Router, incarnation: int) -> bool:
    """Return whether an incarnation of a router ran without a pause since.

    A router that did has to respond by the deadline.
    """
    is_running = router.state is RouterState.RUNNING
    return (
        is_running
        and router.incarnation == incarnation
        and router.resumed_at < since
    )


async def _exchange_on(http: H11Stream, request: Ask) -> _Answer | None:
    """Send a request and return its response, ``None`` if there is none."""
    body = h11.Data(data=request.body)
    await http.send(request.head(), body, h11.EndOfMessage())
    event = await http.receive()
    if not isinstance(event, h11.Response):
        return None
    return _Answer(event, await http.read_body(_MAX_BODY_BYTES) or b'')

"""A backend server at the upstream interface, on a virtual clock."""

from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from enum import Enum, auto
from random import Random

import trio
from result import Err, Ok, Result

from carobwalk.dispatch import (
    NotAuthorised,
    NotConnected,
    RefusalReason,
    Refused,
    Unanswered,
    UpstreamFailure,
    UpstreamRequest,
)
from carobwalk.model import Completion, ReplySink, RequestHead, ServerId

WORK_HEADER = b'work-us'
ACTION_HEADER = b'action'
POISON_HEADER = b'poison'

_MICROSECONDS = 1_000_000
_LATENCY_SECONDS = 0.001
WIRE_SECONDS = 2 * _LATENCY_SECONDS
_COLD_SECONDS = 5
_COLD_FACTOR = 3


class Fault(Enum):
    """What is wrong with a server."""

    NONE = auto()
    DOWN = auto()
    FROZEN = auto()
    LYING = auto()


@dataclass
class FakeServer:
    """A server with slots that starts cold, sheds, freezes and crashes.

    Args:
        name: Its name.
        slots: Requests that it runs at once.
        backlog: Requests that it queues beyond them before it sheds.
        factor: Multiplies every service time.
        early_loss: Share of connections that it loses before the run.
        late_loss: Share of connections that it loses after the run.
        shed: Share of requests that it sheds at any load.
    """

    name: str
    slots: int = 4
    backlog: int = 120
    factor: float = 1
    early_loss: float = 0
    late_loss: float = 0
    shed: float = 0
    fault: Fault = Fault.NONE
    started_at: float = 0
    present: int = 0
    crashes: int = 0
    attempts: int = 0
    sends: int = 0
    sheds: int = 0
    busy_seconds: float = 0
    most_present: int = 0
    runs_by_action: Counter[str] = field(default_factory=Counter)
    random: Random = field(default_factory=lambda: Random(1))
    _scopes: set[trio.CancelScope] = field(default_factory=set)
    _semaphore: trio.Semaphore | None = None
    _thawed: trio.Event = field(default_factory=trio.Event)

    @property
    def health_answer(self) -> bool:
        """What its health endpoint says: it is up, also while it lies."""
        return self.fault is not Fault.DOWN

    def crash(self) -> None:
        """Lose everything that runs; the server is down."""
        self.crashes += 1
        self.fault = Fault.DOWN
        for scope in tuple(self._scopes):
            scope.cancel()

    def restart(self) -> None:
        """Come back, cold and empty."""
        self.thaw()
        self.started_at = trio.current_time()

    def thaw(self) -> None:
        """Go on as if nothing had happened."""
        self.fault = Fault.NONE
        self._thawed.set()
        self._thawed = trio.Event()

    def resize(self, slots: int) -> None:
        """Run another number of requests from now on."""
        self.slots = slots
        self._semaphore = trio.Semaphore(slots)

    async def take(self, head: RequestHead) -> UpstreamFailure | None:
        """Run a request whose bytes have arrived.

        Args:
            head: The request; its headers name the work.
        """
        self.sends += 1
        is_full = self.present >= self.slots + self.backlog
        if is_full or self._happens(self.shed):
            self.sheds += 1
            return Refused(RefusalReason.SHED, retry_after=1)
        if self._happens(self.early_loss):
            return Unanswered('connection reset before the run')
        scope = trio.CancelScope()
        with self._counted(scope):
            await self._run(head)
            await trio.sleep(_LATENCY_SECONDS)
        if scope.cancelled_caught or self._happens(self.late_loss):
            return Unanswered('connection reset')
        return None

    def _happens(self, share: float) -> bool:
        return share > 0 and self.random.random() < share

    async def _run(self, head: RequestHead) -> None:
        while self.fault in {Fault.FROZEN, Fault.LYING}:
            await self._thawed.wait()
        if self._semaphore is None:
            self._semaphore = trio.Semaphore(self.slots)
        async with self._semaphore:
            fields = dict(head.headers)
            self.runs_by_action[fields.get(ACTION_HEADER, b'').decode()] += 1
            if POISON_HEADER in fields:
                self.crash()
            await self._work(int(fields[WORK_HEADER]) / _MICROSECONDS)

    async def _work(self, seconds: float) -> None:
        is_cold = trio.current_time() < self.started_at + _COLD_SECONDS
        factor = self.factor
        if is_cold:
            factor *= _COLD_FACTOR
        began_at = trio.current_time()
        try:
            await trio.sleep(seconds * factor)
        finally:
            self.busy_seconds += trio.current_time() - began_at

    @contextmanager
    def _counted(self, scope: trio.CancelScope) -> Iterator[None]:
        self.present += 1
        self.most_present = max(self.most_present, self.present)
        self._scopes.add(scope)
        try:
            with scope:
                yield
        finally:
            self._scopes.discard(scope)
            self.present -= 1


class FakeUpstream:
    """Connections to a fake server."""

    def __init__(self, server: FakeServer) -> None:
        self._server = server

    async def exchange(
        self,
        request: UpstreamRequest,
        sink: ReplySink,
    ) -> Result[Completion, UpstreamFailure]:
        """Send a request and answer it with a short body."""
        self._server.attempts += 1
        await trio.sleep(_LATENCY_SECONDS)
        if self._server.fault is Fault.DOWN:
            return Err(NotConnected('connection refused'))
        token = request.gate.open()
        if isinstance(token, Err):
            return Err(NotAuthorised(token.err_value.detail))
        lost = await self._server.take(request.head)
        if lost is not None:
            return Err(lost)
        await sink.start(200, ())
        await sink.write(b'done')
        completion = Completion(
            status=200,
            server=ServerId(self._server.name),
            sent_bytes=0,
            received_bytes=4,
        )
        return Ok(completion)

    async def aclose(self) -> None:
        """Do nothing: a fake keeps no connection."""

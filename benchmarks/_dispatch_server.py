"""Fake backend server behind the upstream interface, on a virtual clock."""

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

_MICROSECONDS_PER_SECOND = 1_000_000
_ONE_WAY_SECONDS = 0.001
WIRE_SECONDS = 2 * _ONE_WAY_SECONDS
_WARM_UP_SECONDS = 5
_COLD_SLOWDOWN = 3


class Fault(Enum):
    """Fault of a server."""

    NONE = auto()
    DOWN = auto()
    FROZEN = auto()
    LYING = auto()


@dataclass
class FakeServer:
    """Fake server with slots that can start cold, shed, freeze and crash.

    Args:
        name: Name of the server.
        slots: Number of requests that it runs concurrently.
        backlog: Number of requests that it queues beyond the slots before it
            sheds.
        factor: Factor on every service time.
        early_loss: Probability that a connection is reset before the run.
        late_loss: Probability that a connection is reset after the run.
        shed: Probability that a request is shed at any load.
        fault: Present fault.
        started_at: Time of the last start, in seconds.
        present: Number of requests that it holds.
        crashes: Number of crashes.
        attempts: Number of connections that were tried.
        sends: Number of requests that arrived.
        sheds: Number of requests that were shed.
        busy_seconds: Total service time.
        most_present: Largest number of requests held at once.
        runs_by_action: Number of runs of each action.
        random: Source of losses and sheds.
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
        """Whether the health endpoint reports the server as healthy.

        A frozen or lying server does so as well.
        """
        return self.fault is not Fault.DOWN

    def crash(self) -> None:
        """Go down and lose all requests that are running."""
        self.crashes += 1
        self.fault = Fault.DOWN
        for scope in tuple(self._scopes):
            scope.cancel()

    def restart(self) -> None:
        """Start again without requests, and cold."""
        self.thaw()
        self.started_at = trio.current_time()

    def thaw(self) -> None:
        """Clear the fault and continue the requests that were held."""
        self.fault = Fault.NONE
        self._thawed.set()
        self._thawed = trio.Event()

    def resize(self, slots: int) -> None:
        """Set the number of requests that run concurrently."""
        self.slots = slots
        self._semaphore = trio.Semaphore(slots)

    async def handle(self, head: RequestHead) -> UpstreamFailure | None:
        """Run a request that has arrived.

        Args:
            head: Head of the request; its headers state the work.

        Returns:
            The failure that the dispatcher sees, or ``None``.
        """
        self.sends += 1
        is_full = self.present >= self.slots + self.backlog
        if is_full or self._draw(self.shed):
            self.sheds += 1
            return Refused(RefusalReason.SHED, retry_after=1)
        if self._draw(self.early_loss):
            return Unanswered('connection reset before the run')
        scope = trio.CancelScope()
        with self._track_request(scope):
            await self._run(head)
            await trio.sleep(_ONE_WAY_SECONDS)
        if scope.cancelled_caught or self._draw(self.late_loss):
            return Unanswered('connection reset')
        return None

    def _draw(self, share: float) -> bool:
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
            await self._work(
                int(fields[WORK_HEADER]) / _MICROSECONDS_PER_SECOND
            )

    async def _work(self, seconds: float) -> None:
        is_cold = trio.current_time() < self.started_at + _WARM_UP_SECONDS
        factor = self.factor
        if is_cold:
            factor *= _COLD_SLOWDOWN
        began_at = trio.current_time()
        try:
            await trio.sleep(seconds * factor)
        finally:
            self.busy_seconds += trio.current_time() - began_at

    @contextmanager
    def _track_request(self, scope: trio.CancelScope) -> Iterator[None]:
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
    """Connections to a fake server.

    Args:
        server: Server that runs the requests.
    """

    def __init__(self, server: FakeServer) -> None:
        self._server = server

    async def exchange(
        self,
        request: UpstreamRequest,
        sink: ReplySink,
    ) -> Result[Completion, UpstreamFailure]:
        """Send a request and write a short answer to the sink."""
        self._server.attempts += 1
        await trio.sleep(_ONE_WAY_SECONDS)
        if self._server.fault is Fault.DOWN:
            return Err(NotConnected('connection refused'))
        token = request.gate.open()
        if isinstance(token, Err):
            return Err(NotAuthorised(token.err_value.detail))
        failure = await self._server.handle(request.head)
        if failure is not None:
            return Err(failure)
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
        """Do nothing, since there are no connections to close."""

"""Faulty connections of a simulated process: store, peers, servers."""

import math
import random
from collections.abc import Awaitable, Callable

import trio
from result import Err, Ok, Result

from carobwalk.directory import BackendServer
from carobwalk.keyspace import (
    Grant,
    OrderChannel,
    OrderFailure,
    OrderUnanswered,
    OrderUnsent,
    Release,
)
from carobwalk.model import Endpoint, ProcessId
from carobwalk.peer import PeerFailure, Topic, TopicHandler
from carobwalk.store import StoreFailure, Unanswered, Unavailable
from standins.platform import KvStore

_STORE_TIMEOUT_SECONDS = 1.0
# Share of the answers to a frozen process that it finds to be overdue.
_OVERDUE_SHARE = 0.5
_WRITES = frozenset(
    ('write', 'remove', 'open_lease', 'keep_alive', 'end_lease')
)

StoreCall = Callable[..., Awaitable[Result[object, StoreFailure]]]


class ProcessGate:
    """Holds up all inputs and outputs of a frozen process.

    The clock goes on, as that of a suspended host does.
    """

    def __init__(self) -> None:
        self._thawed: trio.Event | None = None

    @property
    def is_frozen(self) -> bool:
        """Whether the process is frozen."""
        return self._thawed is not None

    def freeze(self) -> None:
        """Freeze the process."""
        if self._thawed is None:
            self._thawed = trio.Event()

    def thaw(self) -> None:
        """Let the process go on."""
        if self._thawed is not None:
            self._thawed.set()
            self._thawed = None

    async def wait(self) -> None:
        """Wait while the process is frozen."""
        while self._thawed is not None:
            await self._thawed.wait()


class StoreLink:
    """Connection of a process to the store, with faults.

    Reads take ``read_delay`` seconds longer. While ``is_cut``, calls fail.
    Calls take ``delay`` seconds each way. With ``loses_answers``, writes are
    done and go unanswered; with ``write_delay``, they go unanswered and are
    done that many seconds later. While ``silence``
    is frozen, nothing passes, and no call fails; while a call is named in
    ``silent_calls``, only such calls wait.
    """

    def __init__(self, store: KvStore, gate: ProcessGate | None = None) -> None:
        self.is_cut = False
        self.delay: float = 0
        self.loses_answers = False
        self.write_delay: float | None = None
        self.nursery: trio.Nursery | None = None
        self._store = store
        self._gate = gate or ProcessGate()
        self.silence = ProcessGate()
        self.silent_calls: frozenset[str] = frozenset()
        self.read_delay: float = 0

    def __getattr__(self, name: str) -> StoreCall:
        async def call(*arguments: object) -> Result[object, StoreFailure]:
            await self._gate.wait()
            answered: Result[object, StoreFailure] = Err(Unanswered('silent'))
            with trio.move_on_after(_limit(name, arguments)):
                await self._wait_for_silence(name)
                answered = await self._call(name, arguments)
                await self._wait_for_silence(name)
            await self._gate.wait()
            return answered

        return call

    async def _wait_for_silence(self, name: str) -> None:
        if not self.silent_calls or name in self.silent_calls:
            await self.silence.wait()

    async def _call(
        self,
        name: str,
        arguments: tuple[object, ...],
    ) -> Result[object, StoreFailure]:
        if self.is_cut:
            await trio.sleep(0.05)
            return Err(Unavailable('cut'))
        call: StoreCall = getattr(self._store, name)
        if name not in _WRITES:
            if self.read_delay:
                await trio.sleep(self.read_delay)
            return await call(*arguments)
        if self.write_delay is not None and self.nursery is not None:
            delay = self.write_delay
            self.nursery.start_soon(_call_later, delay, call, arguments)
            await trio.sleep(_STORE_TIMEOUT_SECONDS)
            return Err(Unanswered('no answer'))
        if self.delay:
            await trio.sleep(self.delay)
        answered = await call(*arguments)
        if self.loses_answers:
            await trio.sleep(_STORE_TIMEOUT_SECONDS)
            return Err(Unanswered('answer lost'))
        if self.delay:
            await trio.sleep(self.delay)
        return answered


def _limit(name: str, arguments: tuple[object, ...]) -> float:
    """Return the seconds until a call is given up, infinite for most."""
    if name != 'watch_records':
        return math.inf
    _, _, timeout, margin = arguments
    assert isinstance(timeout, float)
    assert isinstance(margin, float)
    return timeout + margin


async def _call_later(
    delay: float,
    call: StoreCall,
    arguments: tuple[object, ...],
) -> None:
    await trio.sleep(delay)
    await call(*arguments)


class PeerLinks:
    """In-memory connections between processes, with faults.

    A process that is not listed is unreachable. Questions and answers take
    ``delay`` seconds each way, and answers the longer, the less bandwidth, in
    bytes a second, there is; a question that was sent arrives even if its
    sender no longer waits. The shares ``loss`` of questions and of answers are
    lost.
    """

    def __init__(self) -> None:
        self.answers_by_name: dict[str, TopicHandler] = {}
        self.delay: float = 0
        self.bandwidth = math.inf
        self.loss: float = 0
        self.nursery: trio.Nursery | None = None

    async def ask(
        self,
        peer: Endpoint,
        topic: Topic,
        payload: bytes,
        timeout: float,
    ) -> Result[bytes, PeerFailure]:
        """Send a question to another process."""
        answer = self.answers_by_name.get(peer.name)
        if answer is None:
            return Err(PeerFailure(delivered=False, detail='unreachable'))
        if self.nursery is None:
            return Ok(await answer(ProcessId('asker'), payload))
        sender, receiver = trio.open_memory_channel[bytes](1)
        self.nursery.start_soon(self._deliver, answer, payload, sender)
        with trio.move_on_after(timeout):
            return Ok(await receiver.receive())
        return Err(PeerFailure(delivered=True, detail='no answer in time'))

    async def _deliver(
        self,
        answer: TopicHandler,
        payload: bytes,
        sender: trio.MemorySendChannel[bytes],
    ) -> None:
        delay, loss = self.delay, self.loss
        await trio.sleep(delay)
        if _happens(loss):
            return
        answered = await answer(ProcessId('asker'), payload)
        await trio.sleep(delay + len(answered) / self.bandwidth)
        if not _happens(loss):
            sender.send_nowait(answered)


class GatedOrders:
    """Order channel of a process that may be frozen.

    Orders that would be sent while it is frozen are not sent. An answer that
    arrives meanwhile is read, or found to be overdue, after the thaw.

    Args:
        channel: Channel to the servers.
        gate: Gate of the process.
    """

    def __init__(self, channel: OrderChannel, gate: ProcessGate) -> None:
        self._channel = channel
        self._gate = gate

    async def grant(
        self,
        server: BackendServer,
        order: Grant,
    ) -> Result[None, OrderFailure]:
        """Send a grant unless the process is frozen."""
        if await self._was_frozen():
            return Err(OrderUnsent('process was frozen', is_refused=False))
        answered = await self._channel.grant(server, order)
        if await self._was_frozen() and _happens(_OVERDUE_SHARE):
            return Err(OrderUnanswered('overdue after a freeze'))
        return answered

    async def release(
        self,
        server: BackendServer,
        order: Release,
    ) -> Result[str, OrderFailure]:
        """Send a release unless the process is frozen."""
        if await self._was_frozen():
            return Err(OrderUnsent('process was frozen', is_refused=False))
        answered = await self._channel.release(server, order)
        if await self._was_frozen() and _happens(_OVERDUE_SHARE):
            return Err(OrderUnanswered('overdue after a freeze'))
        return answered

    async def _was_frozen(self) -> bool:
        is_frozen = self._gate.is_frozen
        await self._gate.wait()
        return is_frozen


def _happens(share: float) -> bool:
    return random.choices((True, False), (share, 1 - share))[0]


def gated(answer: TopicHandler, gate: ProcessGate) -> TopicHandler:
    """Return a handler that answers only while its process is not frozen."""

    async def run(sender: ProcessId, payload: bytes) -> bytes:
        await gate.wait()
        answered = await answer(sender, payload)
        await gate.wait()
        return answered

    return run

"""At-most-once execution of actions with an idempotency key."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace

import trio
import xxhash
from result import Err, Ok, Result

from carobwalk.dispatch._action_record import (
    ActionId,
    ActionRecord,
    StoredResponse,
)
from carobwalk.dispatch._dispatch_request import DispatchRequest
from carobwalk.dispatch._idempotency_cache import (
    MAX_CLOCK_LEAD_SECONDS,
    IdempotencyCache,
)
from carobwalk.dispatch._in_flight_counter import InFlightCounter
from carobwalk.dispatch._issue_time import clock_lead, issue_time
from carobwalk.dispatch._lease_history import LeaseHistory
from carobwalk.dispatch._recording_sink import RecordingSink
from carobwalk.model import (
    CallerGoneError,
    Completion,
    Failure,
    FailureKind,
    Outcome,
    RequestHead,
    ServerId,
)

_CallResult = Result[Completion, Failure]
Send = Callable[[DispatchRequest], Awaitable[_CallResult]]


@dataclass(slots=True, eq=False, kw_only=True)
class _FirstRun:
    """First run of an action; it may continue after its caller disconnects."""

    action: ActionId
    request: DispatchRequest
    sink: RecordingSink
    scope: trio.CancelScope
    result: _CallResult | None = None

    def detach_caller(self) -> None:
        """Continue without the caller if the whole request was received.

        Otherwise, or if nothing has been sent yet, the run is cancelled.
        """
        self.sink.detach()
        request = self.request
        if not (request.gate.sends and request.has_whole_body):
            self.scope.cancel()


class ActionRunner:
    """Runs each action at most once and serves repeats from the cache.

    Args:
        server: Backend server of the dispatcher.
        send: Queues a request for a slot and sends it to the server.
        cache: Records of earlier actions.
        lease_history: Determines since when this process is the only sender.
        in_flight: Counts the running actions.
    """

    def __init__(
        self,
        server: ServerId,
        send: Send,
        cache: IdempotencyCache,
        lease_history: LeaseHistory,
        in_flight: InFlightCounter,
    ) -> None:
        self._server = server
        self._send = send
        self._cache = cache
        self._lease_history = lease_history
        self._nursery: trio.Nursery | None = None
        self._in_flight = in_flight

    def use_nursery(self, nursery: trio.Nursery | None) -> None:
        """Set the nursery in which runs outlive their callers.

        Args:
            nursery: The nursery; with ``None`` an action runs in the task of
                its caller and is cancelled with it.
        """
        self._nursery = nursery

    async def run(self, request: DispatchRequest) -> _CallResult:
        """Run an action, wait for its current run, or replay its response.

        Args:
            request: The request; it has an idempotency key.

        Returns:
            The completion, or the failure with its outcome.
        """
        action = _action_of(request.head)
        digest = _digest_of(request.head)
        while True:
            # An earlier request may have run until the action proves to be new.
            request.gate.mark_possibly_run()
            record = self._cache.find(action)
            if record is None:
                return await self._run_new(action, digest, request)
            if record.digest != digest:
                return Err(_reused_key())
            await record.ended.wait()
            if self._cache.find(action) is record:
                return await self._respond_to_repeat(request, record.response)

    async def _run_new(
        self,
        action: ActionId,
        digest: int,
        request: DispatchRequest,
    ) -> _CallResult:
        tokens = request.gate.read_tokens()
        if isinstance(tokens, Err):
            detail = tokens.err_value.detail
            return Err(request.failure(FailureKind.NOT_DISPATCHER, detail))
        issued_at = issue_time(action.idempotency_key)
        lead = clock_lead(issued_at, self._cache.wall_clock())
        if lead > MAX_CLOCK_LEAD_SECONDS:
            return Err(_key_in_future(lead))
        if lead > 0:
            # If the action ran before the timestamp in its key, a later
            # dispatcher would mistake a repeat for a new action.
            await trio.sleep(lead)
            return await self.run(request)
        since = self._lease_history.held_since(request.head)
        if not self._cache.is_new(issued_at, since):
            detail = 'the action may have been sent before this dispatcher'
            return Err(request.failure(FailureKind.REPEAT_UNSETTLED, detail))
        request.gate.confirm_not_run(tokens.ok_value)
        if not self._cache.evict_if_full():
            detail = 'the memory of actions is full'
            return Err(request.failure(FailureKind.QUEUE_FULL, detail))
        self._cache.add(action, ActionRecord(digest, issued_at))
        return await self._run_first(action, request)

    async def _run_first(
        self, action: ActionId, request: DispatchRequest
    ) -> _CallResult:
        sink = RecordingSink(request.sink)
        first = _FirstRun(
            action=action,
            request=replace(request, sink=sink),
            sink=sink,
            scope=trio.CancelScope(deadline=request.trio_deadline()),
        )
        if self._nursery is None:
            await self._finish(first)
            return first.result or Err(
                request.deadline_failure('not ended in time')
            )
        ended = self._cache.ended(action)
        self._nursery.start_soon(self._finish, first)
        try:
            await ended.wait()
        except trio.Cancelled:
            first.detach_caller()
            raise
        return first.result or Err(
            request.deadline_failure('not ended in time')
        )

    async def _finish(self, first: _FirstRun) -> None:
        try:
            with self._in_flight.track(), first.scope:
                first.result = await self._send(first.request)
        finally:
            self._record_result(first)

    def _record_result(self, first: _FirstRun) -> None:
        if isinstance(first.result, Ok):
            self._cache.finish(first.action, first.sink.response)
        elif first.request.gate.outcome is Outcome.NOT_RUN:
            self._cache.discard(first.action)
        else:
            self._cache.finish(first.action, None)

    async def _respond_to_repeat(
        self,
        request: DispatchRequest,
        response: StoredResponse | None,
    ) -> _CallResult:
        if response is None or response.body is None:
            detail = 'the first request of the action has no kept answer'
            return Err(request.failure(FailureKind.REPEAT_UNSETTLED, detail))
        try:
            await _replay(request, response)
        except CallerGoneError:
            detail = 'the caller left a repeated answer'
            return Err(request.failure(FailureKind.CALLER_GONE, detail))
        completion = Completion(
            status=response.status,
            server=self._server,
            sent_bytes=0,
            received_bytes=len(response.body),
        )
        return Ok(completion)


async def _replay(request: DispatchRequest, response: StoredResponse) -> None:
    await request.sink.start(response.status, response.headers)
    if response.body:
        await request.sink.write(response.body)


def _action_of(head: RequestHead) -> ActionId:
    return ActionId(
        service=head.service,
        key=head.key,
        idempotency_key=head.idempotency_key or '',
    )


def _digest_of(head: RequestHead) -> int:
    return xxhash.xxh3_64_intdigest(f'{head.method} {head.target}'.encode())


def _key_in_future(lead: float) -> Failure:
    # Every dispatcher rejects such a key, so the action has never run.
    return Failure(
        kind=FailureKind.BAD_REQUEST,
        outcome=Outcome.NOT_RUN,
        detail=f'the idempotency key was made {lead:.1f} s in the future',
    )


def _reused_key() -> Failure:
    return Failure(
        kind=FailureKind.BAD_REQUEST,
        outcome=Outcome.NOT_RUN,
        detail='the idempotency key belongs to another request',
    )

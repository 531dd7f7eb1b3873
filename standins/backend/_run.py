"""Execution of one request on a backend server."""

import math
import os
from dataclasses import replace

import h11
import trio
import xxhash

from carobwalk.http import H11Stream
from standins.backend._checks import find_refusal, is_owner, log_start
from standins.backend._fault import Fault
from standins.backend._refusal import Refusal
from standins.backend._reply import send_refusal, send_response
from standins.backend._request import BackendRequest
from standins.backend._run_record import RunRecord
from standins.backend._run_state import RunState
from standins.backend._state import BackendState
from standins.backend._watch_caller import watch_caller

CRASH_EXIT_STATUS = 70
_MILLISECONDS_PER_SECOND = 1000


class Run:
    """Runs one request and updates its record.

    Args:
        state: State of the server.
        connection: Connection whose next events are the request's body.
        request: Head of the request.
    """

    def __init__(
        self,
        state: BackendState,
        connection: H11Stream,
        request: BackendRequest,
    ) -> None:
        self._state = state
        self._connection = connection
        self._request = request
        faulty = state.settings.faulty
        self._fault = request.query.get('fault') if faulty else None

    async def execute(self) -> bool:
        """Run the request; return whether the connection can be kept open."""
        refusal = find_refusal(self._state, self._request)
        if refusal is None and not self._state.slots.try_enter():
            refusal = Refusal.SHED
        if refusal is not None:
            await send_refusal(self._connection, refusal)
            return True
        try:
            return await self._wait_and_run()
        finally:
            self._state.slots.leave()

    async def _wait_and_run(self) -> bool:
        with trio.move_on_after(self._request.seconds_left) as expiry:
            await self._state.slots.acquire()
            try:
                return await self._run_in_slot(expiry)
            finally:
                self._state.slots.release()
        await send_refusal(self._connection, Refusal.DEADLINE)
        return True

    async def _run_in_slot(self, expiry: trio.CancelScope) -> bool:
        # The grant may have expired while the request waited for a slot.
        refusal = find_refusal(self._state, self._request)
        if refusal is not None:
            await send_refusal(self._connection, refusal)
            return True
        shard = self._request.shard
        service = self._state.settings.service
        if shard is None:
            return await self._run(expiry)
        self._state.grants.begin(service, shard)
        try:
            return await self._run(expiry)
        finally:
            self._state.grants.finish(service, shard)

    async def _run(self, expiry: trio.CancelScope) -> bool:
        record = log_start(self._state, self._request)
        prepared = None
        try:
            prepared = await self._prepare(record)
        finally:
            if prepared is None:
                self._put(record, RunState.ABORTED)
        if prepared is None:
            return False
        # There is no checkpoint between this check and the record of the
        # effect, so ownership cannot change in between.
        if not is_owner(self._state, self._request):
            self._put(prepared, RunState.REFUSED)
            await send_refusal(self._connection, Refusal.FENCED)
            return True
        expiry.deadline = math.inf
        committed = replace(prepared, committed_at=self._state.clock.now())
        return await self._respond(self._put(committed, RunState.COMMITTED))

    async def _respond(self, record: RunRecord) -> bool:
        if self._fault == Fault.SILENT:
            return False
        is_complete = await send_response(
            self._connection,
            self._request,
            record,
            is_truncated=self._fault == Fault.CUT,
        )
        if is_complete:
            ended_at = self._state.clock.now()
            self._put(replace(record, ended_at=ended_at), RunState.COMPLETE)
        return is_complete

    async def _prepare(self, record: RunRecord) -> RunRecord | None:
        """Read the body and do the work.

        Returns ``None`` if the caller disconnected or a fault closes the
        connection.
        """
        if self._fault == Fault.CRASH:
            os._exit(CRASH_EXIT_STATUS)
        prepared = await self._read_body(record)
        if self._fault == Fault.BREAK or not await self._work():
            return None
        return prepared

    async def _read_body(self, record: RunRecord) -> RunRecord:
        if self._connection.protocol.they_are_waiting_for_100_continue:
            await self._connection.send(
                h11.InformationalResponse(status_code=100, headers=[]),
            )
        digest = xxhash.xxh64()
        size = 0
        event = await self._connection.receive()
        while isinstance(event, h11.Data):
            digest.update(event.data)
            size += len(event.data)
            event = await self._connection.receive()
        if not isinstance(event, h11.EndOfMessage):
            raise trio.BrokenResourceError('the request body was truncated')
        return replace(record, body_bytes=size, body_digest=digest.hexdigest())

    async def _work(self) -> bool:
        """Wait for the service time; return whether the caller is connected."""
        seconds = self._request.number('work_ms') / _MILLISECONDS_PER_SECOND
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                watch_caller,
                self._connection,
                nursery.cancel_scope,
            )
            await trio.sleep(seconds * self._state.slowdown())
            nursery.cancel_scope.cancel()
            return True
        return False

    def _put(self, record: RunRecord, state: RunState) -> RunRecord:
        changed = replace(record, state=state)
        self._state.log.put(changed)
        return changed

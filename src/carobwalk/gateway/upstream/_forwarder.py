"""Forwarding of requests to backend servers, with retries."""

from dataclasses import dataclass
from typing import Final

import trio

from carobwalk.directory import BackendServer
from carobwalk.events import EventLog
from carobwalk.gateway import _refusals as refusals
from carobwalk.gateway._caller_request import CallerRequest
from carobwalk.gateway._header_names import HeaderNames
from carobwalk.gateway._reply import Reply
from carobwalk.gateway.choice._crash_tracker import CrashTracker
from carobwalk.gateway.choice._keyed_chooser import KeyedChooser
from carobwalk.gateway.choice._load_table import LoadTable
from carobwalk.gateway.choice._retry_budgets import RetryBudgets
from carobwalk.gateway.choice._target import NoTarget, Target
from carobwalk.gateway.choice._unkeyed_chooser import UnkeyedChooser
from carobwalk.gateway.upstream._attempt_recorder import AttemptRecorder
from carobwalk.gateway.upstream._connection_pool import ConnectionPool
from carobwalk.gateway.upstream._outcomes import (
    Answered,
    AttemptOutcome,
    Lost,
    NotRun,
    NotSent,
)
from carobwalk.gateway.upstream._progress import Progress
from carobwalk.gateway.upstream._upstream_head import upstream_head

# Least time to the deadline with which a request is still sent.
_MIN_SEND_SECONDS: Final = 0.02
_NO_TIME_LEFT: Final = 'no time left'
_QUARANTINED: Final = 'the request has crashed backend servers'
_QUARANTINE_RETRY_SECONDS: Final = 2.0
_NO_RETRIES_LEFT: Final = 'the retry budget is spent'
_WITHHELD: Final = 'the location of the server no longer permits the request'
# Time to come back after a request that this process doesn't send again.
_RETRY_SECONDS: Final = 0.1


@dataclass(frozen=True, slots=True, kw_only=True)
class ForwarderParts:
    """Dependencies of the forwarder.

    Args:
        names: Names of the header fields exchanged with backend servers.
        loads: Load of each backend server.
        pool: Connections to the backend servers.
        unkeyed: Chooses among all servers of a service.
        keyed: Chooses the owner of a key.
        budgets: Retry budgets of the services.
        crash_tracker: Records crashes and holds the quarantine.
        events: Event log.
    """

    names: HeaderNames
    loads: LoadTable
    pool: ConnectionPool
    unkeyed: UnkeyedChooser
    keyed: KeyedChooser
    budgets: RetryBudgets
    crash_tracker: CrashTracker
    events: EventLog


class Forwarder:
    """Sends requests to backend servers and retries them where allowed.

    Args:
        parts: Dependencies of the forwarder.
    """

    def __init__(self, parts: ForwarderParts) -> None:
        self._parts = parts
        self._recorder = AttemptRecorder(
            parts.loads, parts.keyed, parts.crash_tracker, parts.events
        )

    async def run(self, request: CallerRequest, progress: Progress) -> Reply:
        """Return the answer to a request.

        Args:
            request: The request.
            progress: Progress of the request, updated in place so that it can
                be logged even if the request is cancelled.
        """
        self._parts.budgets.count_request(progress.service)
        self._parts.loads.demand.count(progress.service)
        if self._parts.crash_tracker.is_quarantined(request):
            return refusals.not_run(_QUARANTINED, _QUARANTINE_RETRY_SECONDS)
        with trio.move_on_at(request.deadline):
            return await self._run(request, progress)
        if progress.may_have_run:
            return refusals.timed_out()
        return refusals.not_run(_NO_TIME_LEFT, 0)

    async def _run(self, request: CallerRequest, progress: Progress) -> Reply:
        while True:
            target = await self._choose(request, progress)
            if isinstance(target, NoTarget):
                return _refusal(target, progress)
            obstacle = self._obstacle(request, progress)
            if obstacle is not None:
                self._parts.loads.finish(target.server, request.route.name)
                return _refusal(obstacle, progress)
            outcome = await self._attempt(request, target, progress)
            if isinstance(outcome, Answered):
                return outcome.reply
            self._recorder.log_failure(request, progress, outcome)
            if not self._may_repeat(request, outcome, progress):
                return _final_reply(outcome, progress)

    async def _choose(
        self,
        request: CallerRequest,
        progress: Progress,
    ) -> Target | NoTarget:
        if progress.is_keyed and request.key is not None:
            return await self._parts.keyed.choose(
                progress.service,
                request,
                request.key,
            )
        return await self._parts.unkeyed.choose(
            progress.service,
            request,
            frozenset(progress.excluded),
        )

    async def _attempt(
        self,
        request: CallerRequest,
        target: Target,
        progress: Progress,
    ) -> AttemptOutcome:
        """Send a request to a server; its load already counts the request."""
        server = target.server
        started_at = trio.current_time()
        loads = self._parts.loads
        progress.last_server = server.id
        outcome: AttemptOutcome | None = None
        try:
            outcome = await self._send_shielded(request, server, progress)
        finally:
            loads.finish(server, request.route.name)
            self._recorder.record(
                request, progress, target, outcome, started_at
            )
        return outcome

    async def _send_shielded(
        self,
        request: CallerRequest,
        server: BackendServer,
        progress: Progress,
    ) -> AttemptOutcome:
        """Send a request, shielded from cancellation if not idempotent.

        When the caller disconnects, a request that is not idempotent still
        runs to its end: a server that is interrupted may have applied only
        part of it.
        """
        with trio.CancelScope(
            shield=not request.route.is_idempotent,
            deadline=request.deadline,
        ):
            return await self._send(request, server, progress)
        # The deadline has passed; the enclosing scope has the same deadline and
        # cancels this wait.
        return await trio.sleep_forever()

    async def _send(
        self,
        request: CallerRequest,
        server: BackendServer,
        progress: Progress,
    ) -> AttemptOutcome:
        pool = self._parts.pool
        connection = await pool.acquire(server, request)
        if isinstance(connection, NotSent):
            return connection
        parts = self._parts
        chooser = (
            parts.keyed if _has_owner(request, progress) else parts.unkeyed
        )
        if not chooser.may_send(request, server):
            # An evacuation has begun, or the configuration has changed, since
            # the server was chosen.
            await pool.release(server, connection)
            return NotSent(_WITHHELD, is_withheld=True)
        may_have_run_before = progress.may_have_run
        progress.sent_to.add(server.id)
        progress.excluded.add(server.id)
        progress.sends += 1
        progress.may_have_run = True
        is_ended = False
        try:
            outcome = await connection.exchange(
                request, upstream_head(request, server, self._parts.names)
            )
            is_ended = True
        finally:
            if not is_ended:
                await connection.aclose()
        if isinstance(outcome, NotRun):
            progress.may_have_run = may_have_run_before
        await pool.release(server, connection)
        return outcome

    def _may_repeat(
        self,
        request: CallerRequest,
        outcome: NotSent | NotRun | Lost,
        progress: Progress,
    ) -> bool:
        if isinstance(outcome, NotSent):
            progress.excluded.add(progress.last_server)
            return True
        if isinstance(outcome, Lost) and not request.route.is_idempotent:
            return False
        if progress.sends > request.route.max_attempts:
            return False
        is_last = len(progress.sent_to) >= request.route.max_attempts
        if is_last and not progress.is_keyed:
            return False
        return self._parts.budgets.may_spend(progress.service)

    def _obstacle(
        self, request: CallerRequest, progress: Progress
    ) -> NoTarget | None:
        """Return why a request must not be sent, ``None`` if it may.

        While it waited for a server, its time may have run out, the same
        request may have crashed servers of other processes, and other requests
        may have spent the retry budget.
        """
        if self._parts.crash_tracker.is_quarantined(request):
            return NoTarget(_QUARANTINED, _QUARANTINE_RETRY_SECONDS)
        if request.deadline - trio.current_time() < _MIN_SEND_SECONDS:
            return NoTarget(_NO_TIME_LEFT, 0)
        if not self._has_paid(progress):
            return NoTarget(_NO_RETRIES_LEFT, _RETRY_SECONDS)
        return None

    def _has_paid(self, progress: Progress) -> bool:
        """Spend a retry if the next send is one that is not yet paid for."""
        if progress.paid_retries >= progress.sends:
            return True
        is_spent = self._parts.budgets.spend(progress.service)
        progress.paid_retries += is_spent
        return is_spent


def _has_owner(request: CallerRequest, progress: Progress) -> bool:
    """Return whether only the owner of its key can run a request."""
    return progress.is_keyed and request.key is not None


def _refusal(target: NoTarget, progress: Progress) -> Reply:
    """Return the answer to a request that no server can accept now.

    An earlier attempt whose answer was lost may still have run.
    """
    if progress.may_have_run:
        return refusals.outcome_unknown(target.detail)
    return refusals.not_run(target.detail, target.retry_after)


def _final_reply(
    outcome: NotSent | NotRun | Lost,
    progress: Progress,
) -> Reply:
    if progress.may_have_run:
        return refusals.outcome_unknown(outcome.detail)
    return refusals.not_run(outcome.detail, _retry_after(outcome, progress))


def _retry_after(
    outcome: NotSent | NotRun | Lost,
    progress: Progress,
) -> float:
    """Return the seconds after which a retry may succeed.

    No other server can run a request for the key of one that asks to wait.
    """
    if isinstance(outcome, NotRun) and progress.is_keyed:
        return max(outcome.notice.wait_seconds, _RETRY_SECONDS)
    return _RETRY_SECONDS

"""Forwarding of whole requests to backend servers."""

from dataclasses import dataclass
from typing import Final

import trio

from carobwalk.directory import BackendServer
from carobwalk.events import EventLog
from carobwalk.gateway import _refusals as refusals
from carobwalk.gateway._attempt_log import AttemptFailed
from carobwalk.gateway._caller_request import CallerRequest
from carobwalk.gateway._connection_pool import ConnectionPool
from carobwalk.gateway._crash_suspects import CrashSuspects
from carobwalk.gateway._header_names import HeaderNames
from carobwalk.gateway._keyed_chooser import KeyedChooser
from carobwalk.gateway._load_table import LoadTable
from carobwalk.gateway._outcomes import (
    Answered,
    AttemptOutcome,
    Lost,
    NotRun,
    NotSent,
)
from carobwalk.gateway._repeat_budgets import RepeatBudgets
from carobwalk.gateway._reply import Reply
from carobwalk.gateway._target import NoTarget, Target
from carobwalk.gateway._unkeyed_chooser import UnkeyedChooser
from carobwalk.gateway._upstream_head import upstream_head
from carobwalk.model import ServerId, ServiceName

# A request with less time left than this is not sent any more.
_LEAST_SECONDS: Final = 0.02
_NO_TIME: Final = 'no time left'
_QUARANTINED: Final = 'the request has crashed backend servers'
_QUARANTINE_SECONDS: Final = 2.0


@dataclass(frozen=True, slots=True, kw_only=True)
class ForwarderParts:
    """What forwarding needs.

    Args:
        names: Names of header fields.
        loads: Loads of the servers.
        pool: Connections to the servers.
        unkeyed: Chooses among all servers of a service.
        keyed: Chooses the owner of a key.
        budgets: Bounds on repeats.
        suspects: Requests that crash servers.
        events: Log of events.
    """

    names: HeaderNames
    loads: LoadTable
    pool: ConnectionPool
    unkeyed: UnkeyedChooser
    keyed: KeyedChooser
    budgets: RepeatBudgets
    suspects: CrashSuspects
    events: EventLog


class Progress:
    """How far a request has come.

    Args:
        service: Service that runs it.
        is_keyed: Whether the owner of its key runs it.
    """

    def __init__(self, service: ServiceName, *, is_keyed: bool) -> None:
        self.service = service
        self.is_keyed = is_keyed
        self.may_have_run = False
        self.sends = 0
        self.last_server = ServerId('')
        self.sent_to: set[ServerId] = set()
        self.avoided: set[ServerId] = set()


class Forwarder:
    """Sends requests, and repeats them where that is allowed.

    Args:
        parts: What forwarding needs.
    """

    def __init__(self, parts: ForwarderParts) -> None:
        self._parts = parts

    async def run(self, request: CallerRequest, progress: Progress) -> Reply:
        """Return the answer to a request.

        Args:
            request: The request.
            progress: Takes note of how far it comes.
        """
        self._parts.budgets.count_request(progress.service)
        if self._parts.suspects.is_quarantined(request):
            return refusals.not_run(_QUARANTINED, _QUARANTINE_SECONDS)
        with trio.move_on_at(request.deadline):
            return await self._run(request, progress)
        if progress.may_have_run:
            return refusals.timed_out()
        return refusals.not_run(_NO_TIME, 0)

    async def _run(self, request: CallerRequest, progress: Progress) -> Reply:
        while True:
            target = await self._choose(request, progress)
            if isinstance(target, NoTarget):
                return _refusal(target, progress)
            if request.deadline - trio.current_time() < _LEAST_SECONDS:
                self._parts.loads.finish(target.server)
                return _refusal(NoTarget(_NO_TIME, 0), progress)
            outcome = await self._attempt(request, target.server, progress)
            if isinstance(outcome, Answered):
                return outcome.reply
            self._log(request, target.server, outcome, progress)
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
            frozenset(progress.avoided),
        )

    async def _attempt(
        self,
        request: CallerRequest,
        server: BackendServer,
        progress: Progress,
    ) -> AttemptOutcome:
        """Send a request to a server whose load counts it already."""
        began = trio.current_time()
        loads = self._parts.loads
        progress.last_server = server.id
        outcome: AttemptOutcome | None = None
        try:
            outcome = await self._send_shielded(request, server, progress)
        finally:
            loads.finish(server)
            self._record(request, progress, server, outcome, began)
        return outcome

    async def _send_shielded(
        self,
        request: CallerRequest,
        server: BackendServer,
        progress: Progress,
    ) -> AttemptOutcome:
        """Send a request; let it end if it can't be repeated.

        What a caller that leaves has sent is carried out whole or not at
        all: a server that is cut off in the middle may have done half of it.
        """
        with trio.CancelScope(
            shield=not request.route.is_idempotent,
            deadline=request.deadline,
        ):
            return await self._send(request, server, progress)
        # The scope around the whole request has the same deadline.
        return await trio.sleep_forever()

    def _record(
        self,
        request: CallerRequest,
        progress: Progress,
        server: BackendServer,
        outcome: AttemptOutcome | None,
        began: float,
    ) -> None:
        """Take in how an attempt ended, ``None`` if it was given up."""
        loads = self._parts.loads
        now = trio.current_time()
        match outcome:
            case None:
                loads.record_given_up(server, now, now - began)
            case Answered():
                loads.record_answer(server, now, now - began)
                if progress.is_keyed:
                    # Others can't take what the owner of a key can't.
                    wanted = request.route.target_latency
                    loads.of(server).adapt(now - began, wanted)
            case NotSent():
                loads.of(server).record_unreachable(now)
                if outcome.is_refused:
                    self._parts.suspects.record_refused(server.life)
            case Lost():
                loads.of(server).record_unreachable(now)
                self._parts.suspects.record_lost(request, server.life)

    async def _send(
        self,
        request: CallerRequest,
        server: BackendServer,
        progress: Progress,
    ) -> AttemptOutcome:
        pool = self._parts.pool
        taken = await pool.take(
            server,
            is_repeatable=request.route.is_idempotent,
        )
        if isinstance(taken, NotSent):
            return taken
        might_have_run = progress.may_have_run
        progress.sent_to.add(server.id)
        progress.avoided.add(server.id)
        progress.sends += 1
        progress.may_have_run = True
        is_ended = False
        try:
            outcome = await taken.exchange(
                request, upstream_head(request, server, self._parts.names)
            )
            is_ended = True
        finally:
            if not is_ended:
                await taken.aclose()
        if isinstance(outcome, NotRun):
            progress.may_have_run = might_have_run
        await pool.give_back(server, taken)
        return outcome

    def _may_repeat(
        self,
        request: CallerRequest,
        outcome: NotSent | NotRun | Lost,
        progress: Progress,
    ) -> bool:
        if isinstance(outcome, NotSent):
            progress.avoided.add(progress.last_server)
            return True
        if isinstance(outcome, Lost) and not request.route.is_idempotent:
            return False
        if progress.sends > request.route.max_attempts:
            return False
        is_last = len(progress.sent_to) >= request.route.max_attempts
        if is_last and not progress.is_keyed:
            return False
        return self._parts.budgets.spend(progress.service)

    def _log(
        self,
        request: CallerRequest,
        server: BackendServer,
        outcome: NotSent | NotRun | Lost,
        progress: Progress,
    ) -> None:
        self._parts.events.emit(
            AttemptFailed(
                request=request.id.decode('latin-1'),
                server=server.id,
                service=progress.service,
                outcome=type(outcome).__name__,
                detail=outcome.detail,
                sends=progress.sends,
            ),
        )


def _refusal(target: NoTarget, progress: Progress) -> Reply:
    """Return the answer when there is nowhere to send a request to.

    An earlier send that was lost may have run all the same.
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
    return refusals.not_run(outcome.detail, 0.1)

"""Recording of what attempts tell about backend servers."""

import trio

from carobwalk.directory import BackendServer
from carobwalk.events import EventLog
from carobwalk.gateway._caller_request import CallerRequest
from carobwalk.gateway._events import AttemptFailed
from carobwalk.gateway.choice._crash_tracker import CrashTracker
from carobwalk.gateway.choice._keyed_chooser import KeyedChooser
from carobwalk.gateway.choice._load_table import LoadTable
from carobwalk.gateway.choice._target import Target
from carobwalk.gateway.upstream._outcomes import (
    Answered,
    AttemptOutcome,
    Lost,
    NotRun,
    NotSent,
)
from carobwalk.gateway.upstream._progress import Progress


class AttemptRecorder:
    """Records outcomes of attempts so that they bind later ones.

    Args:
        loads: Load of each backend server.
        keyed: Chooses the owner of a key.
        crash_tracker: Records crashes.
        events: Event log.
    """

    def __init__(
        self,
        loads: LoadTable,
        keyed: KeyedChooser,
        crash_tracker: CrashTracker,
        events: EventLog,
    ) -> None:
        self._loads = loads
        self._keyed = keyed
        self._crash_tracker = crash_tracker
        self._events = events

    def record(
        self,
        request: CallerRequest,
        progress: Progress,
        target: Target,
        outcome: AttemptOutcome | None,
        started_at: float,
    ) -> None:
        """Record the outcome of an attempt, ``None`` if it was cancelled."""
        server = target.server
        now = trio.current_time()
        if isinstance(outcome, Answered | NotRun):
            self._loads.gates.apply(server, outcome.notice)
            self._loads.totals.of(server).limit = outcome.notice.limit
        match outcome:
            case None:
                self._loads.record_abandoned(server, now, now - started_at)
            case Answered():
                self._record_answer(request, progress, server, started_at)
            case NotSent(is_withheld=True):
                pass
            case NotSent():
                self._loads.of(server).record_unreachable(now)
                if outcome.is_refused:
                    self._crash_tracker.record_refused_connection(
                        server.incarnation
                    )
            case Lost():
                self._loads.of(server).record_unreachable(now)
                self._crash_tracker.record_lost_connection(
                    request, server.incarnation
                )
            case NotRun(is_misdirected=True):
                self._record_misdirected(request, progress, target)

    def log_failure(
        self,
        request: CallerRequest,
        progress: Progress,
        outcome: NotSent | NotRun | Lost,
    ) -> None:
        """Log that the last attempt of a request brought no answer."""
        self._events.emit(
            AttemptFailed(
                request=request.id.decode('latin-1'),
                server=progress.last_server,
                service=progress.service,
                outcome=type(outcome).__name__,
                detail=outcome.detail,
                sends=progress.sends,
            ),
        )

    def _record_answer(
        self,
        request: CallerRequest,
        progress: Progress,
        server: BackendServer,
        started_at: float,
    ) -> None:
        now = trio.current_time()
        seconds = now - started_at
        self._loads.record_answer(server, now, seconds)
        if progress.is_keyed:
            # No other server can relieve the owner of a key, so its concurrency
            # limit has to adapt.
            target_seconds = request.route.target_latency
            self._loads.of(server).adjust_limit(seconds, target_seconds)

    def _record_misdirected(
        self, request: CallerRequest, progress: Progress, target: Target
    ) -> None:
        if progress.is_keyed and request.key is not None:
            self._keyed.record_misdirected(
                progress.service, request.key, target
            )

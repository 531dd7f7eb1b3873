"""Checks of a backend server before and during a request."""

from standins.backend._refusal import Refusal
from standins.backend._request import BackendRequest
from standins.backend._run_record import RunRecord
from standins.backend._run_state import RunState
from standins.backend._state import BackendState


def find_refusal(
    state: BackendState,
    request: BackendRequest,
) -> Refusal | None:
    """Return why the request must not start, ``None`` if it may."""
    if state.slots.draining:
        return Refusal.DRAINING
    if not state.settings.checks_grants:
        return None
    if request.shard is None or request.token is None:
        return Refusal.FENCED
    is_admitted = state.grants.admits(
        state.settings.service,
        request.shard,
        request.token,
        state.clock.now(),
    )
    return None if is_admitted else Refusal.FENCED


def is_owner(state: BackendState, request: BackendRequest) -> bool:
    """Return whether a live grant allows the request to take effect."""
    if request.shard is None or not state.settings.checks_grants:
        return True
    service = state.settings.service
    return state.grants.owns(service, request.shard, state.clock.now())


def log_start(state: BackendState, request: BackendRequest) -> RunRecord:
    """Create and log the record of a request that got a slot."""
    state.runs += 1
    record = RunRecord(
        server=state.settings.server,
        service=state.settings.service,
        incarnation=state.incarnation,
        number=state.runs,
        state=RunState.STARTED,
        request=request.request,
        idempotency_key=request.headers.get('idempotency-key'),
        method=request.method,
        path=request.path,
        key=request.key,
        mark=request.mark,
        shard=request.shard,
        token=str(request.token) if request.token else None,
        started_at=state.clock.now(),
    )
    state.log.put(record)
    return record

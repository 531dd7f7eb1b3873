"""Record of one request on a backend server."""

from dataclasses import dataclass

from carobwalk.model import ServerId, ServiceName
from standins.backend._run_state import RunState


@dataclass(frozen=True, slots=True, kw_only=True)
class RunRecord:
    """Record of a request that was given a slot.

    Args:
        server: Name of the server.
        service: Service of the server.
        incarnation: Random id generated when the server started.
        number: Sequence number of the run, from 1.
        state: Progress of the request; it has taken effect from
            ``committed`` on.
        request: Request id assigned by the entry.
        idempotency_key: Idempotency key sent by the caller.
        method: HTTP method.
        path: Path without the query.
        key: Last segment of the path.
        mark: Text unique to the request.
        shard: Shard in the request.
        token: Fencing token in the request.
        started_at: Time when the request got its slot, in seconds.
        committed_at: Time of the effect, in seconds.
        ended_at: Time when the last byte of the response was sent, in seconds.
        body_bytes: Length of the request's body.
        body_digest: Digest of the request's body.
    """

    server: ServerId
    service: ServiceName
    incarnation: str
    number: int
    state: RunState
    request: str
    idempotency_key: str | None
    method: str
    path: str
    key: str
    mark: str
    shard: int | None
    token: str | None
    started_at: float
    committed_at: float | None = None
    ended_at: float | None = None
    body_bytes: int = 0
    body_digest: str = ''

"""Record of one request on a backend server."""

from dataclasses import dataclass

from carobwalk.model import ServerId, ServiceName
from standins.backend._run_state import RunState


@dataclass(frozen=True, slots=True, kw_only=True)
class RunRecord:
    """What a backend server knows of a request that it gave a slot.

    Args:
        server: Name of the server.
        service: Service of the server.
        incarnation: Random name taken when the server started.
        number: Count of the server's runs, from 1.
        state: How far the request got; its effect is there from
            ``committed`` on.
        request: Identity given by the entry.
        idempotency_key: The caller's name of the action.
        method: HTTP method.
        path: Path without the query.
        key: Last segment of the path.
        mark: The caller's own text, unique to its request.
        shard: Shard in the request.
        token: Fence token in the request.
        started_at: Time when the request got its slot, in seconds.
        committed_at: Time of the effect, in seconds.
        ended_at: Time when the last byte of the answer was sent, in seconds.
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

"""Reading of request heads."""

from typing import Any

from carobwalk.model import (
    Key,
    Rank,
    RequestHead,
    RequestId,
    ServiceName,
)
from carobwalk.peer import frames
from carobwalk.peer.codec._read_shared import read_headers, read_placement
from carobwalk.peer.codec._readers import reads


@reads('request')
def _read_request(message: Any) -> frames.OpenRequest:
    length = message.bodyLength
    head = RequestHead(
        request_id=RequestId(message.requestId),
        service=ServiceName(message.service),
        rank=Rank(message.rank),
        method=message.method,
        target=message.target,
        headers=read_headers(message.headers),
        key=Key(message.key) if message.hasKey else None,
        deadline=message.deadline,
        idempotent=message.idempotent,
        idempotency_key=message.idempotencyKey or None,
        caller=message.caller,
        body_length=None if length < 0 else length,
    )
    return frames.OpenRequest(head, read_placement(message.placement))

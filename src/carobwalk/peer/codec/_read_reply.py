"""Reading of response heads, completions and failures."""

from typing import Any

from carobwalk.model import (
    Completion,
    Failure,
    FailureKind,
    Outcome,
    ServerId,
)
from carobwalk.peer import frames
from carobwalk.peer.codec._read_shared import read_headers
from carobwalk.peer.codec._readers import reads


@reads('replyHead')
def _read_reply_head(message: Any) -> frames.ReplyHead:
    return frames.ReplyHead(message.status, read_headers(message.headers))


@reads('completion')
def _read_completed(message: Any) -> frames.Completed:
    return frames.Completed(
        Completion(
            status=message.status,
            server=ServerId(message.server),
            sent_bytes=message.sentBytes,
            received_bytes=message.receivedBytes,
        ),
    )


@reads('failure')
def _read_failed(message: Any) -> frames.Failed:
    retry_after = message.retryAfter
    return frames.Failed(
        Failure(
            kind=FailureKind(message.kind),
            outcome=Outcome(message.outcome),
            detail=message.detail,
            retry_after=None if retry_after < 0 else retry_after,
        ),
    )

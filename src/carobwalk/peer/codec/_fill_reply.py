"""Filling of response heads, completions and failures."""

from typing import Any

from carobwalk.peer import frames
from carobwalk.peer.codec._fill_shared import ABSENT_NUMBER, fill_headers
from carobwalk.peer.codec._fillers import fills


@fills(frames.ReplyHead)
def _fill_reply_head(message: Any, body: frames.ReplyHead) -> None:
    head = message.init('replyHead')
    head.status = body.status
    fill_headers(head, body.headers)


@fills(frames.Completed)
def _fill_completed(message: Any, body: frames.Completed) -> None:
    completion = message.init('completion')
    completion.status = body.completion.status
    completion.server = body.completion.server
    completion.sentBytes = body.completion.sent_bytes
    completion.receivedBytes = body.completion.received_bytes


@fills(frames.Failed)
def _fill_failed(message: Any, body: frames.Failed) -> None:
    failure = message.init('failure')
    failure.kind = body.failure.kind.value
    failure.outcome = body.failure.outcome.value
    failure.detail = body.failure.detail
    retry_after = body.failure.retry_after
    failure.retryAfter = ABSENT_NUMBER if retry_after is None else retry_after

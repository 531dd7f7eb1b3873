"""Filling of request heads."""

from typing import Any

from carobwalk.model import RequestHead
from carobwalk.peer import frames
from carobwalk.peer.codec._fill_shared import (
    ABSENT_NUMBER,
    fill_headers,
    fill_placement,
)
from carobwalk.peer.codec._fillers import fills


@fills(frames.OpenRequest)
def _fill_request(message: Any, body: frames.OpenRequest) -> None:
    request = message.init('request')
    _fill_request_identity(request, body.head)
    _fill_request_options(request, body.head)
    fill_headers(request, body.head.headers)
    fill_placement(request.init('placement'), body.placement)


def _fill_request_identity(request: Any, head: RequestHead) -> None:
    request.requestId = head.request_id
    request.service = head.service
    request.rank = head.rank.value
    request.method = head.method
    request.target = head.target
    request.caller = head.caller
    request.hasKey = head.key is not None
    request.key = head.key or ''


def _fill_request_options(request: Any, head: RequestHead) -> None:
    request.deadline = head.deadline
    request.idempotent = head.idempotent
    request.idempotencyKey = head.idempotency_key or ''
    length = head.body_length
    request.bodyLength = ABSENT_NUMBER if length is None else length

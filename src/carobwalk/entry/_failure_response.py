"""HTTP responses to failed requests."""

from collections.abc import Mapping
from http import HTTPStatus
from types import MappingProxyType
from typing import Final

import msgspec

from carobwalk.entry import _headers
from carobwalk.model import Failure, FailureKind, Headers

_STATUS_BY_KIND: Final[Mapping[FailureKind, HTTPStatus]] = MappingProxyType(
    {
        FailureKind.BAD_REQUEST: HTTPStatus.BAD_REQUEST,
        FailureKind.UNKNOWN_SERVICE: HTTPStatus.NOT_FOUND,
        FailureKind.MISSING_KEY: HTTPStatus.BAD_REQUEST,
        FailureKind.NO_OWNER: HTTPStatus.SERVICE_UNAVAILABLE,
        FailureKind.NOT_DISPATCHER: HTTPStatus.SERVICE_UNAVAILABLE,
        FailureKind.PEER_LOST: HTTPStatus.BAD_GATEWAY,
        FailureKind.DEADLINE: HTTPStatus.GATEWAY_TIMEOUT,
        FailureKind.QUEUE_FULL: HTTPStatus.SERVICE_UNAVAILABLE,
        FailureKind.SHED: HTTPStatus.SERVICE_UNAVAILABLE,
        FailureKind.SERVER_LOST: HTTPStatus.BAD_GATEWAY,
        FailureKind.SERVER_UNREACHABLE: HTTPStatus.BAD_GATEWAY,
        FailureKind.FENCED: HTTPStatus.SERVICE_UNAVAILABLE,
        FailureKind.QUARANTINED: HTTPStatus.UNPROCESSABLE_ENTITY,
        FailureKind.REPEAT_UNSETTLED: HTTPStatus.CONFLICT,
        FailureKind.TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        FailureKind.STOPPING: HTTPStatus.SERVICE_UNAVAILABLE,
        FailureKind.CALLER_GONE: HTTPStatus.BAD_REQUEST,
        FailureKind.INTERNAL: HTTPStatus.INTERNAL_SERVER_ERROR,
    },
)


def status_of(failure: Failure) -> HTTPStatus:
    """Return the HTTP status of a failure."""
    return _STATUS_BY_KIND[failure.kind]


def encode_failure(failure: Failure, request_id: str) -> bytes:
    """Return the JSON response body for a failure.

    Args:
        failure: Failure to report.
        request_id: Request id; empty if the request was not classified.
    """
    body = {
        'error': failure.kind,
        'outcome': failure.outcome,
        'detail': failure.detail,
        'request': request_id,
    }
    return msgspec.json.encode(body)


def failure_headers(failure: Failure, request_id: str, size: int) -> Headers:
    """Return the response header fields for a failure.

    Args:
        failure: Failure to report.
        request_id: Request id; empty if the request was not classified.
        size: Length of the response body in bytes.
    """
    fields = [
        (b'content-type', b'application/json'),
        (_headers.CONTENT_LENGTH, str(size).encode()),
        (_headers.OUTCOME, failure.outcome.encode()),
        (_headers.REQUEST_ID, request_id.encode()),
    ]
    if failure.retry_after is not None:
        seconds = max(1, round(failure.retry_after))
        fields.append((b'retry-after', str(seconds).encode()))
    return tuple(fields)

"""Answers that the gateway itself gives."""

from http import HTTPStatus
from typing import Final

from carobwalk.gateway._reply import Reply

_MIN_RETRY_AFTER_SECONDS: Final = 0.05
_MAX_RETRY_AFTER_SECONDS: Final = 300.0


def not_run(detail: str, retry_after: float) -> Reply:
    """Return the answer to a request that has not run and will not run.

    Args:
        detail: Cause, for the body and the log.
        retry_after: Seconds after which a retry may succeed; clamped.
    """
    clamped = min(
        max(retry_after, _MIN_RETRY_AFTER_SECONDS),
        _MAX_RETRY_AFTER_SECONDS,
    )
    return Reply(
        HTTPStatus.SERVICE_UNAVAILABLE,
        ((b'retry-after', f'{clamped:.2f}'.encode()),),
        f'not run: {detail}\n'.encode(),
        detail,
    )


def outcome_unknown(detail: str) -> Reply:
    """Return the answer to a request that may have run."""
    return Reply(
        HTTPStatus.BAD_GATEWAY,
        body=f'outcome unknown: {detail}\n'.encode(),
        cause=detail,
    )


def timed_out() -> Reply:
    """Return the answer to a request that may still be running."""
    return Reply(
        HTTPStatus.GATEWAY_TIMEOUT,
        body=b'no answer in time, outcome unknown\n',
        cause='no answer in time',
    )


def rejected(status: HTTPStatus, detail: str) -> Reply:
    """Return the answer to an invalid request or one without a route."""
    return Reply(status, body=f'{detail}\n'.encode(), cause=detail)

"""What the answer of a backend server means."""

from http import HTTPStatus
from typing import Final

import h11

from carobwalk.gateway._header_names import HeaderNames
from carobwalk.gateway._message import CONNECTION_HEADERS, find_header
from carobwalk.gateway._outcomes import Answered, AttemptOutcome, Lost, NotRun
from carobwalk.gateway._reply import Reply

# Statuses that tell a caller that its request has not run.
_PROMISES: Final = frozenset(
    (
        HTTPStatus.SERVICE_UNAVAILABLE,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.REQUEST_TIMEOUT,
    ),
)


def judge_answer(
    response: h11.Response,
    body: bytes,
    names: HeaderNames,
) -> AttemptOutcome:
    """Return what a whole answer means.

    Args:
        response: Head of the answer.
        body: The whole body.
        names: Names of header fields.
    """
    status = response.status_code
    if find_header(response.headers, names.not_run) is not None:
        return NotRun(status)
    if status == HTTPStatus.MISDIRECTED_REQUEST:
        return NotRun(status)
    if find_header(response.headers, names.signature) is None:
        if status < HTTPStatus.MULTIPLE_CHOICES:
            return Lost('an answer without a signature')
        if status in _PROMISES:
            return Lost(f'unsigned status {status}')
    headers = tuple(
        (name, text)
        for name, text in response.headers.raw_items()
        if name.lower() not in CONNECTION_HEADERS
    )
    return Answered(Reply(status, headers, body))

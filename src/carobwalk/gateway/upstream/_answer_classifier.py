"""Classification of backend servers' answers."""

from http import HTTPStatus
from typing import Final

import h11

from carobwalk.gateway._header_fields import (
    HOP_BY_HOP_HEADERS,
    find_header,
    is_encoded,
)
from carobwalk.gateway._header_names import HeaderNames
from carobwalk.gateway._reply import Reply
from carobwalk.gateway._server_notice import read_notice
from carobwalk.gateway.upstream._outcomes import (
    Answered,
    AttemptOutcome,
    Lost,
    NotRun,
)

# Statuses from which callers conclude that their request has not run. Without a
# signature they prove nothing, so the outcome is unknown.
_NOT_RUN_STATUSES: Final = frozenset(
    (
        HTTPStatus.SERVICE_UNAVAILABLE,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.REQUEST_TIMEOUT,
    ),
)


def classify_answer(
    response: h11.Response,
    body: bytes,
    names: HeaderNames,
) -> AttemptOutcome:
    """Return the outcome that a complete answer stands for.

    An answer that claims success or that the request has not run counts only
    if the backend server signed it; otherwise the outcome is ``Lost``. So it is
    for an encoded body: requests ask for none, so it is not the backend
    server's. Refusals keep their meaning, since their body is not passed on.

    Args:
        response: Status line and header fields of the answer.
        body: Complete body of the answer.
        names: Names of the header fields that carry the signature and the
            refusal to run.
    """
    status = response.status_code
    notice = read_notice(response, names)
    if find_header(response.headers, names.not_run) is not None:
        return NotRun(status, notice)
    if status == HTTPStatus.MISDIRECTED_REQUEST:
        return NotRun(status, notice)
    if find_header(response.headers, names.signature) is None:
        if status < HTTPStatus.MULTIPLE_CHOICES:
            return Lost('an answer without a signature')
        if status in _NOT_RUN_STATUSES:
            return Lost(f'unsigned status {status}')
    if is_encoded(response.headers):
        return Lost('an encoded body')
    headers = tuple(
        (name, text)
        for name, text in response.headers.raw_items()
        if name.lower() not in HOP_BY_HOP_HEADERS
    )
    return Answered(Reply(status, headers, body), notice)

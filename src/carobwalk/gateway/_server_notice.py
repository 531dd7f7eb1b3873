"""What a backend server says of itself in its answers."""

import re
from dataclasses import dataclass
from http import HTTPStatus
from typing import Final

import h11

from carobwalk.gateway._header_fields import find_header
from carobwalk.gateway._header_names import HeaderNames

_DECIMAL: Final = re.compile(rb'(?:[0-9]{1,9}\.?[0-9]{0,40}|\.[0-9]{1,40})')
_LEAVING: Final = b'1'
_RETRY_AFTER: Final = b'retry-after'
# Longest time for which a refusal keeps requests from a server.
_MAX_WAIT_SECONDS: Final = 300.0


@dataclass(frozen=True, slots=True, kw_only=True)
class ServerNotice:
    """State that a backend server declares in the head of an answer.

    Args:
        limit: Requests per second that it accepts from all processes together,
            ``None`` without a limit.
        is_leaving: Whether it is shutting down.
        wait_seconds: Time for which it wants no request from this process.
    """

    limit: float | None = None
    is_leaving: bool = False
    wait_seconds: float = 0


def read_notice(response: h11.Response, names: HeaderNames) -> ServerNotice:
    """Return what an answer says of its server; bad values are ignored.

    Args:
        response: Status line and header fields of the answer.
        names: Names of the header fields.
    """
    wait_seconds = None
    if response.status_code == HTTPStatus.SERVICE_UNAVAILABLE:
        wait_seconds = _find_decimal(response, _RETRY_AFTER)
    leaving = find_header(response.headers, names.leaving) or b''
    return ServerNotice(
        limit=_find_decimal(response, names.limit),
        is_leaving=leaving.strip() == _LEAVING,
        wait_seconds=min(wait_seconds or 0, _MAX_WAIT_SECONDS),
    )


def _find_decimal(response: h11.Response, name: bytes) -> float | None:
    text = find_header(response.headers, name)
    if text is None or _DECIMAL.fullmatch(text.strip()) is None:
        return None
    return float(text)

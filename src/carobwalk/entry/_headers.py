"""Header fields that are passed on, and those that the router reads."""

from collections.abc import Iterable
from typing import Final

from carobwalk.model import Headers

OUTCOME: Final = b'carobwalk-outcome'
REQUEST_ID: Final = b'carobwalk-request'
RANK: Final = b'carobwalk-rank'
CALLER: Final = b'carobwalk-caller'
DEADLINE_MS: Final = b'carobwalk-deadline-ms'
IDEMPOTENCY_KEY: Final = b'idempotency-key'
CONTENT_LENGTH: Final = b'content-length'
TRANSFER_ENCODING: Final = b'transfer-encoding'

# RFC 9110, section 7.6.1, and the framing fields that each hop sets.
_HOP_BY_HOP: Final = frozenset(
    (
        b'connection',
        b'expect',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'upgrade',
        TRANSFER_ENCODING,
    ),
)
_OWN_PREFIX: Final = b'carobwalk-'


def pass_request_headers(headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return the fields of a request for the backend server.

    The router's own fields are left out, so that a caller can not forge a
    fence token.
    """
    return tuple(
        (name, content)
        for name, content in headers
        if _is_end_to_end(name) and name != CONTENT_LENGTH
    )


def pass_reply_headers(headers: Headers) -> Headers:
    """Return the fields of an answer for the caller."""
    return tuple(
        (name, content) for name, content in headers if _is_end_to_end(name)
    )


def _is_end_to_end(name: bytes) -> bool:
    return name not in _HOP_BY_HOP and not name.startswith(_OWN_PREFIX)

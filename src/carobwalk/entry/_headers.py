"""Names of header fields, and filters for forwarding them."""

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

# Hop-by-hop fields of RFC 9110, section 7.6.1, and framing fields, which
# each hop sets itself.
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


def filter_request_headers(headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return the request fields to forward to the backend server.

    Fields with the router's own prefix are removed, so that a caller cannot
    forge a fencing token.
    """
    return tuple(
        (name, content)
        for name, content in headers
        if _is_end_to_end(name) and name != CONTENT_LENGTH
    )


def filter_response_headers(headers: Headers) -> Headers:
    """Return the response fields to forward to the caller."""
    return tuple(
        (name, content) for name, content in headers if _is_end_to_end(name)
    )


def _is_end_to_end(name: bytes) -> bool:
    return name not in _HOP_BY_HOP and not name.startswith(_OWN_PREFIX)

"""Translation of header fields between callers and backend servers."""

from collections.abc import Iterable

from carobwalk.dispatch._upstream_failures import RefusalReason, Refused
from carobwalk.http import parse_natural_number
from carobwalk.model import FenceToken, Headers, RequestHead, ShardNumber

FENCE = b'carobwalk-fence'
REQUEST = b'carobwalk-request'
SHARD = b'carobwalk-shard'
DEADLINE = b'carobwalk-deadline-ms'
OUTCOME = b'carobwalk-outcome'
REASON = b'carobwalk-reason'

_CONTENT_LENGTH = b'content-length'
_TRANSFER_ENCODING = b'transfer-encoding'
_NOT_RUN = b'not-run'
_REFUSAL_STATUSES = frozenset((409, 503))
_MILLISECONDS = 1000

_HOP_BY_HOP = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        _TRANSFER_ENCODING,
        b'upgrade',
    ),
)
_SET_BY_ROUTER = frozenset(
    (_CONTENT_LENGTH, b'expect', FENCE, REQUEST, SHARD, DEADLINE),
)


def request_headers(
    head: RequestHead,
    token: FenceToken,
    shard: ShardNumber | None,
    remaining: float,
) -> list[tuple[bytes, bytes]]:
    """Return the header fields of a request to a backend server.

    Args:
        head: The request.
        token: Fencing token read at the moment of sending.
        shard: Shard of the key; ``None`` for unkeyed requests.
        remaining: Time until the deadline in seconds.
    """
    dropped = _HOP_BY_HOP | _SET_BY_ROUTER
    fields = [pair for pair in head.headers if pair[0] not in dropped]
    fields.extend(_framing(head))
    fields.append((FENCE, str(token).encode()))
    fields.append((REQUEST, head.request_id.encode()))
    fields.append((DEADLINE, b'%d' % (max(remaining, 0) * _MILLISECONDS)))
    if shard is not None:
        fields.append((SHARD, b'%d' % shard))
    return fields


def response_headers(headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return the header fields of a response to pass on to the caller."""
    dropped = _HOP_BY_HOP | {OUTCOME, REASON}
    return tuple(
        (bytes(name), bytes(value))
        for name, value in headers
        if bytes(name) not in dropped
    )


def parse_refusal(
    status: int,
    headers: Iterable[tuple[bytes, bytes]],
) -> Refused | None:
    """Return the refusal that a response states, if it is one.

    A refusal is the server's explicit statement that the request did not run.

    Args:
        status: HTTP status.
        headers: Header fields of the response.
    """
    values_by_name = dict(headers)
    if status not in _REFUSAL_STATUSES:
        return None
    if values_by_name.get(OUTCOME) != _NOT_RUN:
        return None
    reason = values_by_name.get(REASON, b'').decode('latin-1')
    known = reason in tuple(RefusalReason)
    return Refused(
        reason=RefusalReason(reason) if known else RefusalReason.OTHER,
        retry_after=_parse_seconds(values_by_name.get(b'retry-after')),
    )


def has_defined_length(
    status: int,
    method: str,
    headers: Iterable[tuple[bytes, bytes]],
) -> bool:
    """Return whether a response ends without closing the connection.

    Otherwise a complete response looks the same as a lost connection.

    Args:
        status: HTTP status.
        method: Method of the request.
        headers: Header fields of the response.
    """
    names = {bytes(name) for name, _ in headers}
    framed = bool(names & {_CONTENT_LENGTH, _TRANSFER_ENCODING})
    return framed or method == 'HEAD' or status in {204, 304}


def _framing(head: RequestHead) -> list[tuple[bytes, bytes]]:
    if head.body_length is None:
        return [(_TRANSFER_ENCODING, b'chunked')]
    if head.body_length or head.method not in {'GET', 'HEAD', 'DELETE'}:
        return [(_CONTENT_LENGTH, b'%d' % head.body_length)]
    return []


def _parse_seconds(value: bytes | None) -> float | None:
    seconds = None if value is None else parse_natural_number(value)
    return None if seconds is None else float(seconds)

"""Answer to a caller."""

from dataclasses import dataclass

HeaderList = tuple[tuple[bytes, bytes], ...]


@dataclass(frozen=True, slots=True)
class Reply:
    """Complete answer, from a backend server or the gateway itself.

    Args:
        status: HTTP status.
        headers: End-to-end header fields, without the length.
        body: Complete body.
        cause: Why the gateway itself answered, empty for an answer of a
            backend server.
    """

    status: int
    headers: HeaderList = ()
    body: bytes = b''
    cause: str = ''

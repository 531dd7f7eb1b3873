"""A whole answer."""

from dataclasses import dataclass

HeaderList = tuple[tuple[bytes, bytes], ...]


@dataclass(frozen=True, slots=True)
class Reply:
    """A whole answer, from a backend server or of the gateway itself.

    Args:
        status: HTTP status.
        headers: Header fields but those of one connection and the length.
        body: The whole body.
        cause: Why the gateway answered itself, empty for an answer of a
            backend server.
    """

    status: int
    headers: HeaderList = ()
    body: bytes = b''
    cause: str = ''

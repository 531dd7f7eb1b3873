"""Cached state and response of one action."""

from dataclasses import dataclass, field

import trio

from carobwalk.model import Headers, Key, ServiceName


@dataclass(frozen=True, slots=True)
class ActionId:
    """Identity that all requests for the same action share."""

    service: ServiceName
    key: Key | None
    idempotency_key: str


@dataclass(frozen=True, slots=True)
class StoredResponse:
    """A response that can be replayed.

    Args:
        status: HTTP status.
        headers: Header fields.
        body: The body; ``None`` if it was too large to store.
    """

    status: int
    headers: Headers
    body: bytes | None


@dataclass(slots=True, eq=False)
class ActionRecord:
    """State of an action from its first request on.

    Args:
        digest: Digest of method and target, the same for every repeat.
        issued_at: When its idempotency key was generated, in seconds since
            1970; ``None`` if the key contains no timestamp.
        ended: Set when the first request has finished.
        response: The complete response, once received.
    """

    digest: int
    issued_at: float | None
    ended: trio.Event = field(default_factory=trio.Event)
    response: StoredResponse | None = None

    @property
    def size(self) -> int:
        """Bytes that the record counts towards the cache limit."""
        if self.response is None:
            return _OVERHEAD_BYTES
        body = len(self.response.body or b'')
        fields = sum(
            len(name) + len(text) for name, text in self.response.headers
        )
        return _OVERHEAD_BYTES + body + fields


_OVERHEAD_BYTES = 512

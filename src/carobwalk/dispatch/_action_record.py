"""What is remembered of one action."""

from dataclasses import dataclass, field

import trio

from carobwalk.model import Headers, Key, ServiceName


@dataclass(frozen=True, slots=True)
class ActionId:
    """Identity of an action across its repeats."""

    service: ServiceName
    key: Key | None
    idempotency_key: str


@dataclass(frozen=True, slots=True)
class KeptAnswer:
    """An answer that can be given again.

    Args:
        status: HTTP status.
        headers: Header fields.
        body: The body; ``None`` where it was too large to keep.
    """

    status: int
    headers: Headers
    body: bytes | None


@dataclass(slots=True, eq=False)
class ActionRecord:
    """State of an action, from its first arrival.

    Args:
        digest: Digest of method and target, equal in all repeats.
        issued_at: When its key was made, if the key tells.
        ended: Set when the first request has ended.
        answer: The whole answer, once there is one.
    """

    digest: int
    issued_at: float | None
    ended: trio.Event = field(default_factory=trio.Event)
    answer: KeptAnswer | None = None

    @property
    def size(self) -> int:
        """Bytes that the record is counted with."""
        if self.answer is None:
            return _OVERHEAD_BYTES
        body = len(self.answer.body or b'')
        fields = sum(
            len(name) + len(text) for name, text in self.answer.headers
        )
        return _OVERHEAD_BYTES + body + fields


_OVERHEAD_BYTES = 512

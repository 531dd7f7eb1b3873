"""What a backend server says of itself, and the requests that it gets."""

from collections import Counter
from dataclasses import dataclass

import trio

HeaderFields = list[tuple[bytes, bytes]]


class Arrivals:
    """Requests that arrived at a server, run or not."""

    def __init__(self) -> None:
        self.counts_by_id: Counter[bytes] = Counter()
        self.times: list[float] = []

    def record(self, request_id: bytes) -> None:
        """Record that a request arrived."""
        self.counts_by_id[request_id] += 1
        self.times.append(trio.current_time())


@dataclass(slots=True)
class Notices:
    """What a server says of itself in its answers.

    Args:
        limit: Requests per second that it accepts, ``None`` without a limit.
        is_leaving: Whether it says that it shuts down.
        retry_after: Seconds for which it wants no more requests, added to its
            refusals with 503; ``None`` for none.
    """

    limit: float | None = None
    is_leaving: bool = False
    retry_after: float | None = None

    def headers(self, status: int) -> HeaderFields:
        """Return the header fields of an answer with a status."""
        fields: HeaderFields = []
        if self.limit is not None:
            fields.append((b'server-limit', str(self.limit).encode()))
        if self.is_leaving:
            fields.append((b'server-leaving', b'1'))
        if self.retry_after is not None and status == 503:
            fields.append((b'retry-after', str(self.retry_after).encode()))
        return fields

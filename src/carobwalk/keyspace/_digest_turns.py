"""Digests of the load of servers, for every second receipt of a process."""

import math
from collections.abc import Callable, Iterable

from carobwalk.directory import ServerIncarnation
from carobwalk.gateway import ServerEstimate, encode_digest
from carobwalk.model import ProcessId

ListEstimates = Callable[[], Iterable[tuple[ServerIncarnation, ServerEstimate]]]


class DigestTurns:
    """Decides which receipts carry a digest, and keeps it for a short time.

    Args:
        max_age: Seconds for which a digest is used again.
    """

    def __init__(self, max_age: float) -> None:
        self._max_age = max_age
        self._had_digest: set[ProcessId] = set()
        self._digest = b''
        self._built_at = -math.inf

    def is_due(self, process: ProcessId) -> bool:
        """Return whether the present receipt of a process carries a digest."""
        if process in self._had_digest:
            self._had_digest.discard(process)
            return False
        self._had_digest.add(process)
        return True

    def remove(self, process: ProcessId) -> None:
        """Forget a process that has become silent."""
        self._had_digest.discard(process)

    def take(self, now: float, list_estimates: ListEstimates) -> bytes:
        """Return the digest, a new one if the last one is too old."""
        if now - self._built_at > self._max_age:
            self._digest = encode_digest(list_estimates())
            self._built_at = now
        return self._digest

"""Admission of requests to servers that are asked for more than they can do."""

import math
import random
from collections.abc import Mapping
from typing import Final

import trio

from carobwalk.directory import ServerIncarnation

# How long the shares hold after they were told.
_VALID_SECONDS: Final = 1.0
# A caller that comes back after this time finds the overload over or is
# refused at once again.
_MAX_RETRY_SECONDS: Final = 2.0
_MIN_SHARE: Final = 0.01


class Admission:
    """Admits a share of the requests for each overloaded server.

    All processes admit the same share, so that together they ask for what the
    server can do; what it can't do is refused before it is sent.
    """

    def __init__(self) -> None:
        self._share_by_incarnation: Mapping[ServerIncarnation, float] = {}
        self._told_at = -math.inf

    def replace(self, shares: Mapping[ServerIncarnation, float]) -> None:
        """Replace the admitted shares by those that were told now."""
        self._share_by_incarnation = shares
        self._told_at = trio.current_time()

    def refuses(self, server: ServerIncarnation) -> bool:
        """Decide by chance whether to refuse a request for a server."""
        return random.random() > self._share(server)

    def retry_seconds(self, server: ServerIncarnation, latency: float) -> float:
        """Return when a refused caller should come back.

        Args:
            server: The overloaded server.
            latency: Expected latency of a request in seconds.
        """
        share = max(self._share(server), _MIN_SHARE)
        return min(latency / share, _MAX_RETRY_SECONDS)

    def _share(self, server: ServerIncarnation) -> float:
        if trio.current_time() - self._told_at > _VALID_SECONDS:
            return 1
        return self._share_by_incarnation.get(server, 1)

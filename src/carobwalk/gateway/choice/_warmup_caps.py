"""Limits of this process on the requests that it sends to cold servers."""

from collections.abc import Callable

import trio

from carobwalk.directory import ServerIncarnation
from carobwalk.gateway.choice._warmup_cap import WarmupCap


class WarmupCaps:
    """Token buckets of the cold servers."""

    def __init__(self) -> None:
        self._caps_by_incarnation: dict[ServerIncarnation, WarmupCap] = {}

    def of(self, incarnation: ServerIncarnation) -> WarmupCap:
        """Return the bucket of a server, a full one if there is none."""
        cap = self._caps_by_incarnation.get(incarnation)
        if cap is None:
            cap = WarmupCap(trio.current_time())
            self._caps_by_incarnation[incarnation] = cap
        return cap

    def retain(self, is_cold: Callable[[ServerIncarnation], bool]) -> None:
        """Remove the buckets of servers that are not cold any more."""
        for incarnation in tuple(self._caps_by_incarnation):
            if not is_cold(incarnation):
                self._caps_by_incarnation.pop(incarnation)

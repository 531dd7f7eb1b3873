"""Bound on the age of what a process knows of the store's records."""

from collections.abc import Callable
from typing import Final

import trio

from carobwalk.relay._freshness import Freshness, FreshnessTimes
from carobwalk.store import DirectAccess

_CHECK_SECONDS: Final = 0.4
_SHORTEST_PAUSE_SECONDS: Final = 0.02


class AgeBound:
    """Lets a process read the store whenever its last proof becomes too old.

    This holds whatever a relay says or leaves unsaid, and however long the
    questions to other relays take.

    Args:
        freshness: Age of the records whose changes have to be known in time.
        times: Times that keep it low.
        access: Way to the store.
        read_directly: Opens that way, for the cause that it is told.
    """

    def __init__(
        self,
        freshness: Freshness,
        times: FreshnessTimes,
        access: DirectAccess,
        read_directly: Callable[[str], None],
    ) -> None:
        self._freshness = freshness
        self._times = times
        self._access = access
        self._read_directly = read_directly

    async def run(self) -> None:
        """Keep the bound from the first proof on, until cancelled.

        Before it, the process knows no configuration and isn't ready.
        """
        while not self._freshness.is_proved:
            await trio.sleep(_CHECK_SECONDS)
        while True:
            left = self._times.longest_age - self._freshness.age
            if left > 0:
                await trio.sleep(max(left, _SHORTEST_PAUSE_SECONDS))
                continue
            if not self._access.is_open:
                self._read_directly('the last proof is too old')
            await trio.sleep(_CHECK_SECONDS)

"""Signs of life of the backend servers that own keys."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from carobwalk.keyspace._key_range import ServerLife
from carobwalk.keyspace._times import KeyTimes
from carobwalk.model import Clock

_REFUSALS: Final = 2
_REFUSAL_SECONDS: Final = 0.1
# How long a server that did not answer gets no keys.
_AVOID_SECONDS: Final = 3.0


@dataclass(slots=True)
class _Signs:
    silent_since: float | None = None
    last_silence: float = float('-inf')
    refused_since: float | None = None
    refusals: int = 0


class ServerWatch:
    """Tells lost servers from slow ones.

    Args:
        times: Times of the ownership.
        clock: Clock that runs on while the host is suspended.
        last_heard: Returns when a server last answered a caller's request,
            as all processes report it.
    """

    def __init__(
        self,
        times: KeyTimes,
        clock: Clock,
        last_heard: Callable[[ServerLife], float],
    ) -> None:
        self._times = times
        self._clock = clock
        self._last_heard = last_heard
        self._signs_by_life: dict[ServerLife, _Signs] = {}

    def answered(self, life: ServerLife) -> None:
        """Take in an answer to an order."""
        self._signs_by_life.pop(life, None)

    def unanswered(self, life: ServerLife) -> None:
        """Take in that an order got no answer."""
        signs = self._signs_by_life.setdefault(life, _Signs())
        now = self._clock.now()
        signs.last_silence = now
        if signs.silent_since is None:
            signs.silent_since = now - self._times.order_timeout

    def refused(self, life: ServerLife) -> None:
        """Take in that nothing listens at the server's address."""
        signs = self._signs_by_life.setdefault(life, _Signs())
        if signs.refused_since is None:
            signs.refused_since = self._clock.now()
        signs.refusals += 1

    def is_dead(self, life: ServerLife) -> bool:
        """Whether the life is over: its process does not listen any more."""
        signs = self._signs_by_life.get(life)
        if signs is None or signs.refused_since is None:
            return False
        if self._last_heard(life) > signs.refused_since:
            return False
        age = self._clock.now() - signs.refused_since
        return signs.refusals >= _REFUSALS and age >= _REFUSAL_SECONDS

    def is_silent(self, life: ServerLife) -> bool:
        """Whether the server seems lost; it may still hold its keys."""
        signs = self._signs_by_life.get(life)
        if signs is None or signs.silent_since is None:
            return False
        now = self._clock.now()
        if now - signs.last_silence > _AVOID_SECONDS:
            self._signs_by_life.pop(life)
            return False
        if self._last_heard(life) > signs.silent_since:
            return False
        return now - signs.silent_since >= self._times.silence

    def is_usable(self, life: ServerLife) -> bool:
        """Whether the server may get keys."""
        return not self.is_dead(life) and not self.is_silent(life)

"""Shares of requests that cold servers may get, as the coordinator tells."""

import math
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Final

import trio

from carobwalk.directory import ServerIncarnation

# How long the shares hold after they were told.
_VALID_SECONDS: Final = 1.0
# Requests for keys wait while there is no share. When it comes, those of all
# processes are drawn at once, so it is halved at first.
_RAMP_SECONDS: Final = 1.0
_RAMP_RATIO: Final = 0.5


@dataclass(frozen=True, slots=True)
class _Share:
    share: float
    since: float


class WarmupShares:
    """Share of the requests that each cold server may get.

    A server without a share told lately gets none.
    """

    def __init__(self) -> None:
        self._shares_by_incarnation: dict[ServerIncarnation, _Share] = {}
        self._told_at = -math.inf

    def replace(self, shares: Mapping[ServerIncarnation, float]) -> None:
        """Replace all shares by those that were told now."""
        now = trio.current_time()
        known = self._shares_by_incarnation if self._is_valid else {}
        self._shares_by_incarnation = {
            incarnation: _Share(
                share,
                known[incarnation].since if incarnation in known else now,
            )
            for incarnation, share in shares.items()
        }
        self._told_at = now

    def of(self, incarnation: ServerIncarnation) -> float:
        """Return the share of a server, 0 without one told lately."""
        return self.find(incarnation) or 0

    def find(self, incarnation: ServerIncarnation) -> float | None:
        """Return the share of a server, ``None`` without one told lately."""
        told = self._shares_by_incarnation.get(incarnation)
        if told is None or not self._is_valid:
            return None
        is_new = trio.current_time() - told.since < _RAMP_SECONDS
        return told.share * _RAMP_RATIO if is_new else told.share

    def __iter__(self) -> Iterator[ServerIncarnation]:
        """Iterate over the servers that have a share now."""
        return iter(self._shares_by_incarnation if self._is_valid else ())

    @property
    def _is_valid(self) -> bool:
        return trio.current_time() - self._told_at <= _VALID_SECONDS

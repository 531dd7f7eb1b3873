"""Choice of a backend server for work that no key binds."""

from collections.abc import Iterator, Sequence
from contextlib import contextmanager

from result import Ok, Result

from carobwalk.dispatch._candidate import Candidate
from carobwalk.model import (
    Clock,
    Completion,
    Failure,
    FailureKind,
    Outcome,
    Placement,
)

# A signal that is wrong for most servers ejects only a part of them.
_MOST_EJECTED = 1 / 3

_REFUSALS = frozenset((FailureKind.QUEUE_FULL, FailureKind.SHED))
_LOSSES = frozenset(
    (FailureKind.SERVER_LOST, FailureKind.SERVER_UNREACHABLE),
)


class ServerChooser:
    """Chooses by own outcomes, nearest region first.

    Args:
        clock: Clock of the entry.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._candidates_by_server: dict[str, Candidate] = {}

    def choose(self, placements: Sequence[Placement]) -> Placement | None:
        """Return where the next request goes.

        Another region is taken only if each server of the nearer ones is
        ejected or refused work lately.

        Args:
            placements: All candidates, nearest first.

        Returns:
            One of them; ``None`` only where there is none.
        """
        self._forget_absent(placements)
        now = self._clock.now()
        ejected = self._ejected(placements, now)
        usable = [
            placement
            for placement in placements
            if placement.server.name not in ejected
        ]
        ready = [
            placement
            for placement in usable
            if not self._of(placement).is_refusing(now)
        ]
        return self._cheapest_of_first_region(ready or usable)

    @contextmanager
    def sending(self, placement: Placement) -> Iterator[None]:
        """Count a request as present at a server for a block."""
        candidate = self._of(placement)
        candidate.begin(self._clock.now())
        try:
            yield
        finally:
            candidate.end()

    def record(
        self,
        placement: Placement,
        ending: Result[Completion, Failure],
        seconds: float,
    ) -> None:
        """Take in how a request ended.

        Args:
            placement: Where it went.
            ending: How it ended.
            seconds: Time until its end.
        """
        candidate = self._of(placement)
        if isinstance(ending, Ok):
            candidate.succeeded(seconds, self._clock.now())
        elif ending.err_value.kind in _REFUSALS:
            candidate.refused(self._clock.now())
        elif _is_loss(ending.err_value):
            candidate.failed(self._clock.now())

    def ejected(self, placements: Sequence[Placement]) -> frozenset[str]:
        """Return the names of the servers that get no work now."""
        return self._ejected(placements, self._clock.now())

    def _ejected(
        self,
        placements: Sequence[Placement],
        now: float,
    ) -> frozenset[str]:
        most = int(len(placements) * _MOST_EJECTED)
        latest_first = sorted(
            placements,
            key=lambda each: self._of(each).ejected_until(now),
            reverse=True,
        )
        return frozenset(
            placement.server.name
            for placement in latest_first[:most]
            if self._of(placement).ejected_until(now) > now
        )

    def _cheapest_of_first_region(
        self,
        placements: Sequence[Placement],
    ) -> Placement | None:
        if not placements:
            return None
        region = placements[0].server.region
        near = [each for each in placements if each.server.region == region]
        return min(near, key=lambda each: self._of(each).cost)

    def _of(self, placement: Placement) -> Candidate:
        name = placement.server.name
        return self._candidates_by_server.setdefault(name, Candidate())

    def _forget_absent(self, placements: Sequence[Placement]) -> None:
        if len(self._candidates_by_server) > 2 * len(placements):
            names = {placement.server.name for placement in placements}
            for name in self._candidates_by_server.keys() - names:
                self._candidates_by_server.pop(name)


def _is_loss(failure: Failure) -> bool:
    is_stuck = failure.kind is FailureKind.DEADLINE
    is_unknown = failure.outcome is Outcome.UNKNOWN
    return failure.kind in _LOSSES or (is_stuck and is_unknown)

"""Selection of a backend server for unkeyed requests."""

from collections.abc import Iterator, Sequence
from contextlib import contextmanager

from result import Ok, Result

from carobwalk.dispatch._server_stats import ServerStats
from carobwalk.model import (
    Clock,
    Completion,
    Failure,
    FailureKind,
    Outcome,
    Placement,
)

# A false failure signal that affects most servers must not eject them all.
_MAX_EJECTED_FRACTION = 1 / 3

_REFUSALS = frozenset((FailureKind.QUEUE_FULL, FailureKind.SHED))
_LOSSES = frozenset(
    (FailureKind.SERVER_LOST, FailureKind.SERVER_UNREACHABLE),
)


class ServerChooser:
    """Selects servers by the observed outcomes, nearest region first.

    Args:
        clock: Clock of the entry.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._stats_by_server: dict[str, ServerStats] = {}

    def choose(self, placements: Sequence[Placement]) -> Placement | None:
        """Return the placement for the next request.

        A farther region is used only if all servers of the nearer ones are
        ejected or have recently refused a request.

        Args:
            placements: All available placements, nearest first.

        Returns:
            The selected placement; ``None`` only if there are none.
        """
        self._drop_absent(placements)
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
            if not self._stats_of(placement).is_refusing(now)
        ]
        return self._cheapest_of_first_region(ready or usable)

    @contextmanager
    def sending(self, placement: Placement) -> Iterator[None]:
        """Count a request as in flight at a server within the block."""
        stats = self._stats_of(placement)
        stats.request_started(self._clock.now())
        try:
            yield
        finally:
            stats.request_ended()

    def record(
        self,
        placement: Placement,
        result: Result[Completion, Failure],
        seconds: float,
    ) -> None:
        """Record the result of a request.

        Args:
            placement: Where it was sent.
            result: Its completion or failure.
            seconds: Its latency.
        """
        stats = self._stats_of(placement)
        if isinstance(result, Ok):
            stats.record_success(seconds, self._clock.now())
        elif result.err_value.kind in _REFUSALS:
            stats.record_refusal(self._clock.now())
        elif _is_loss(result.err_value):
            stats.record_failure(self._clock.now())

    def ejected(self, placements: Sequence[Placement]) -> frozenset[str]:
        """Return the names of the servers that are currently ejected."""
        return self._ejected(placements, self._clock.now())

    def _ejected(
        self,
        placements: Sequence[Placement],
        now: float,
    ) -> frozenset[str]:
        max_ejected = int(len(placements) * _MAX_EJECTED_FRACTION)
        latest_first = sorted(
            placements,
            key=lambda each: self._stats_of(each).ejected_until(now),
            reverse=True,
        )
        return frozenset(
            placement.server.name
            for placement in latest_first[:max_ejected]
            if self._stats_of(placement).ejected_until(now) > now
        )

    def _cheapest_of_first_region(
        self,
        placements: Sequence[Placement],
    ) -> Placement | None:
        if not placements:
            return None
        region = placements[0].server.region
        near = [each for each in placements if each.server.region == region]
        return min(near, key=lambda each: self._stats_of(each).cost)

    def _stats_of(self, placement: Placement) -> ServerStats:
        name = placement.server.name
        return self._stats_by_server.setdefault(name, ServerStats())

    def _drop_absent(self, placements: Sequence[Placement]) -> None:
        if len(self._stats_by_server) > 2 * len(placements):
            names = {placement.server.name for placement in placements}
            for name in self._stats_by_server.keys() - names:
                self._stats_by_server.pop(name)


def _is_loss(failure: Failure) -> bool:
    is_timeout = failure.kind is FailureKind.DEADLINE
    is_unknown = failure.outcome is Outcome.UNKNOWN
    return failure.kind in _LOSSES or (is_timeout and is_unknown)

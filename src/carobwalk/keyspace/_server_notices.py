"""Notices of backend servers that processes report to the coordinator."""

from typing import Final

from carobwalk.directory import ServerIncarnation
from carobwalk.model import Clock

# How long a notice counts after the last report of it.
_VALID_SECONDS: Final = 3.0
# Least capacity, since the planner divides by it.
_MIN_CAPACITY: Final = 0.1


class ServerNotices:
    """Limits and planned ends of servers, as these declare them in answers.

    Args:
        clock: Clock by which notices expire.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._limits_by_incarnation: dict[
            ServerIncarnation, tuple[float, float]
        ] = {}
        self._leaving_at_by_incarnation: dict[ServerIncarnation, float] = {}

    def record_limit(
        self, incarnation: ServerIncarnation, limit: float | None
    ) -> None:
        """Record the limit in a server's last answer to a process.

        Args:
            incarnation: Incarnation of the server.
            limit: Requests per second, ``None`` without a limit.
        """
        if limit is None:
            self._limits_by_incarnation.pop(incarnation, None)
        else:
            noted = limit, self._clock.now()
            self._limits_by_incarnation[incarnation] = noted

    def record_leaving(self, incarnation: ServerIncarnation) -> None:
        """Record that a server has said that it shuts down."""
        now = self._clock.now()
        self._leaving_at_by_incarnation[incarnation] = now

    def capacity(
        self, incarnation: ServerIncarnation, capacity: float
    ) -> float:
        """Return a server's capacity in requests per second, within its limit.

        Args:
            incarnation: Incarnation of the server.
            capacity: Its capacity without a limit.
        """
        limit, noted_at = self._limits_by_incarnation.get(
            incarnation, (capacity, self._clock.now())
        )
        if self._clock.now() - noted_at > _VALID_SECONDS:
            return capacity
        return min(max(limit, _MIN_CAPACITY), capacity)

    def is_leaving(self, incarnation: ServerIncarnation) -> bool:
        """Return whether a server has said that it shuts down."""
        noted_at = self._leaving_at_by_incarnation.get(incarnation)
        if noted_at is None:
            return False
        return self._clock.now() - noted_at <= _VALID_SECONDS

"""Since when this process alone has sent to the owner of a shard."""

from collections.abc import Callable
from dataclasses import dataclass

from carobwalk.model import FenceToken, ServiceName, ShardNumber

ShardId = tuple[ServiceName, ShardNumber | None]


@dataclass(frozen=True, slots=True)
class Tenure:
    """Unbroken time under one dispatcher lease and one grant.

    Args:
        lease: Token of the dispatcher's own lease.
        grant: Token of the owner's grant.
    """

    lease: FenceToken
    grant: FenceToken


class Tenures:
    """Begin of the current tenure of each shard.

    Args:
        wall_clock: Returns seconds since 1970.
    """

    def __init__(self, wall_clock: Callable[[], float]) -> None:
        self._wall_clock = wall_clock
        self._begins_by_shard: dict[ShardId, tuple[Tenure, float]] = {}

    def begin_of(self, shard: ShardId, tenure: Tenure) -> float:
        """Return when a tenure was first seen, in seconds since 1970.

        A tenure that differs from the last one seen begins now: in between,
        another process may have sent requests of the shard.
        """
        known, begin = self._begins_by_shard.get(shard, (None, 0))
        if known != tenure:
            begin = self._wall_clock()
            self._begins_by_shard[shard] = (tenure, begin)
        return begin

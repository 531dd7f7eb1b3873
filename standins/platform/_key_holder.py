"""Keys held by one incarnation of a backend server."""

from dataclasses import dataclass, field

SLOW_CLOCK_RATE = 0.98


@dataclass(slots=True)
class _HeldRange:
    first: int
    last: int
    fence: int
    expires_at: float


@dataclass(slots=True)
class KeyHolder:
    """Keys held by one incarnation of a backend server, and its faults.

    Args:
        born: Incarnation number that the server registers.
        refuses_connections: Whether its process has ended, so that connections
            to its address are refused and it holds no keys.
        resets_connections: Whether it lives, holds its keys and resets new
            connections, as one that has too many does.
        is_unresponsive: Whether orders are lost and time out.
        refuses_releases: Whether it refuses all releases.
        stalls_releases: Whether releases time out, as with requests that do
            not finish.
        apply_delay: Seconds after which it applies a grant that goes
            unanswered; ``None`` to apply and answer grants at once.
        clock_rate: Seconds that its clock counts in a second.
        repeat_delay: Seconds after which it applies a grant once more, and
            answers only then; ``None`` to apply grants once.
        release_delay: Seconds by which the answer to a release is delayed.
        held: Ranges of keys that it holds, expired ones included.
        fences_by_key: Highest fence accepted, by tracked key.
    """

    born: int = 1
    refuses_connections: bool = False
    resets_connections: bool = False
    is_unresponsive: bool = False
    refuses_releases: bool = False
    stalls_releases: bool = False
    apply_delay: float | None = None
    clock_rate: float = SLOW_CLOCK_RATE
    repeat_delay: float | None = None
    release_delay: float = 0
    held: list[_HeldRange] = field(default_factory=list)
    fences_by_key: dict[int, int] = field(default_factory=dict)

    def real_seconds(self, seconds: float) -> float:
        """Return how long its clock takes to count some seconds."""
        return seconds / self.clock_rate

    def holds(self, key: int, now: float) -> bool:
        """Return whether it holds a key at a time."""
        return not self.refuses_connections and any(
            held_range.first <= key <= held_range.last
            and now < held_range.expires_at
            for held_range in self.held
        )

    def grant(
        self,
        bounds: tuple[int, int],
        fence: int,
        expires_at: float,
        tracked_keys: tuple[int, ...],
    ) -> bool:
        """Accept a grant unless a higher fence is known; return whether it did.

        Args:
            bounds: First and last key.
            fence: Fence of the grant.
            expires_at: Time at which the grant expires, in seconds.
            tracked_keys: Keys whose highest fence is kept.
        """
        first, last = bounds
        for key in tracked_keys:
            if first <= key <= last:
                if self.fences_by_key.get(key, 0) > fence:
                    return False
                self.fences_by_key[key] = fence
        matching = [
            held_range
            for held_range in self.held
            if (held_range.first, held_range.last) == bounds
        ]
        if matching:
            matching[0].expires_at = max(matching[0].expires_at, expires_at)
            matching[0].fence = fence
        else:
            self.held.append(_HeldRange(first, last, fence, expires_at))
        return True

    def bounds_held(self, now: float) -> list[tuple[int, int]]:
        """Return first and last key of each range that it holds at a time."""
        if self.refuses_connections:
            return []
        return [
            (held_range.first, held_range.last)
            for held_range in self.held
            if now < held_range.expires_at
        ]

    def release(self, first: int, last: int) -> None:
        """Give up the keys of a range."""
        kept = []
        for held_range in self.held:
            kept.extend(_subtract(held_range, first, last))
        self.held = kept


def _subtract(
    held_range: _HeldRange, first: int, last: int
) -> list[_HeldRange]:
    """Return the parts of a range outside ``first`` to ``last``."""
    remaining = []
    if held_range.first < first:
        last_before = min(held_range.last, first - 1)
        remaining.append(
            _HeldRange(
                held_range.first,
                last_before,
                held_range.fence,
                held_range.expires_at,
            )
        )
    if held_range.last > last:
        first_after = max(held_range.first, last + 1)
        remaining.append(
            _HeldRange(
                first_after,
                held_range.last,
                held_range.fence,
                held_range.expires_at,
            )
        )
    return remaining

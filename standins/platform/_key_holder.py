"""One life of a backend server and the keys that it holds."""

from dataclasses import dataclass, field

SLOW_CLOCK = 0.98


@dataclass(slots=True)
class _Held:
    first: int
    last: int
    fence: int
    ends: float


@dataclass(slots=True)
class KeyHolder:
    """One life of a backend server.

    Args:
        born: Start of its life.
        is_refusing: Whether nothing listens at its address.
        is_silent: Whether it answers nothing and gets nothing.
        refuses_releases: Whether it refuses each release.
        hangs_releases: Whether it answers no release, for work on the keys
            doesn't end.
        applies_late: Seconds after which it carries out orders that it does
            not answer; ``None`` if it answers.
    """

    born: int = 1
    is_refusing: bool = False
    is_silent: bool = False
    refuses_releases: bool = False
    hangs_releases: bool = False
    applies_late: float | None = None
    held: list[_Held] = field(default_factory=list)
    fences_by_key: dict[int, int] = field(default_factory=dict)

    def holds(self, key: int, now: float) -> bool:
        """Return whether it runs requests for a key."""
        return not self.is_refusing and any(
            part.first <= key <= part.last and now < part.ends
            for part in self.held
        )

    def grant(
        self,
        bounds: tuple[int, int],
        fence: int,
        ends: float,
        watched: tuple[int, ...],
    ) -> bool:
        """Take keys; return whether no higher fence was seen.

        Args:
            bounds: First and last key.
            fence: The grant's fence.
            ends: When the grant ends.
            watched: Keys whose fences are remembered.
        """
        first, last = bounds
        for key in watched:
            if first <= key <= last:
                if self.fences_by_key.get(key, 0) > fence:
                    return False
                self.fences_by_key[key] = fence
        same = [part for part in self.held if (part.first, part.last) == bounds]
        if same:
            same[0].ends = max(same[0].ends, ends)
        else:
            self.held.append(_Held(first, last, fence, ends))
        return True

    def release(self, first: int, last: int) -> None:
        """Give keys up."""
        kept = []
        for part in self.held:
            kept.extend(_outside(part, first, last))
        self.held = kept


def _outside(part: _Held, first: int, last: int) -> list[_Held]:
    """Return what is left of a range without some keys."""
    pieces = []
    if part.first < first:
        end = min(part.last, first - 1)
        pieces.append(_Held(part.first, end, part.fence, part.ends))
    if part.last > last:
        begin = max(part.first, last + 1)
        pieces.append(_Held(begin, part.last, part.fence, part.ends))
    return pieces

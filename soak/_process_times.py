"""Times at which a router process was paused and killed."""

import math
from dataclasses import dataclass, field, replace


@dataclass(frozen=True, slots=True)
class Pause:
    """Time during which a process did not run.

    Args:
        began_at: Wall time in seconds of its begin.
        ended_at: Wall time in seconds of its end, infinite until then.
    """

    began_at: float
    ended_at: float = math.inf

    def overlap(self, start: float, end: float) -> float:
        """Return the seconds of the pause between two times."""
        return max(min(end, self.ended_at) - max(start, self.began_at), 0)


@dataclass(slots=True)
class ProcessTimes:
    """Times at which the incarnations of a process were paused and killed.

    Args:
        kills_by_incarnation: Wall time in seconds of each kill.
        pauses: Pauses of all incarnations.
        started_at: When the last incarnation was ready, in seconds of the event
            loop's clock.
    """

    kills_by_incarnation: dict[int, float] = field(default_factory=dict)
    pauses: list[Pause] = field(default_factory=list)
    started_at: float = -math.inf

    def begin_pause(self, now: float) -> None:
        """Record that the process is suspended."""
        self.pauses.append(Pause(now))

    def end_pause(self, now: float) -> None:
        """Record that the process runs again."""
        self.pauses[-1] = replace(self.pauses[-1], ended_at=now)

    def record_kill(self, incarnation: int, now: float) -> None:
        """Record that an incarnation is killed, paused or not."""
        self.kills_by_incarnation[incarnation] = now
        if self.pauses and self.pauses[-1].ended_at == math.inf:
            self.end_pause(now)

    def run_seconds(self, incarnation: int, since: float) -> float:
        """Return how long an incarnation ran from a time until it was killed.

        Args:
            incarnation: Number of the incarnation.
            since: Wall time in seconds.

        Returns:
            Seconds without the pauses, negative if it was killed before;
            infinite if it was never killed.
        """
        killed_at = self.kills_by_incarnation.get(incarnation, math.inf)
        paused = sum(pause.overlap(since, killed_at) for pause in self.pauses)
        return math.inf if killed_at == math.inf else killed_at - since - paused

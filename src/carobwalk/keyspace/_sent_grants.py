"""Bounds on the grants sent to one incarnation of a backend server."""

import math
from collections import defaultdict
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from carobwalk.directory import ServerIncarnation
from carobwalk.keyspace._key_range import KeyBounds


@dataclass(frozen=True, slots=True, kw_only=True)
class SentGrant:
    """A grant in flight.

    Args:
        incarnation: Incarnation of the server that the grant is sent to.
        bounds: First and last key of the granted range.
        number: Number that distinguishes it from other grants of the range.
        longest_delay: Longest time until it arrives, in seconds.
        longest_validity: Longest time from its arrival until it expires, in
            seconds.
    """

    incarnation: ServerIncarnation
    bounds: KeyBounds
    number: int
    longest_delay: float
    longest_validity: float

    def latest_end(self, now: float) -> float:
        """Return when the grant expires at the latest if it is still sent."""
        return now + self.longest_delay + self.longest_validity


@dataclass(slots=True)
class _SentBounds:
    """Bounds on the grants of one range, as times of the ledger's clock.

    Each grant in flight has an entry of its own, because other bounds may
    change before its outcome is known.

    Args:
        answered: When the last answered grant expires.
        unanswered: When the last grant whose answer timed out expires.
        in_flight: Grants that wait for an answer. A host that was suspended
            may send them only now, however long ago they were recorded.
    """

    answered: float = -math.inf
    unanswered: float = -math.inf
    in_flight: set[SentGrant] = field(default_factory=set)

    def holds_until(self, now: float) -> float:
        """Return when the last grant expires."""
        return max(self.answered, self.unanswered_until(now))

    def unanswered_until(self, now: float) -> float:
        """Return when the last grant without an answer expires."""
        ends = (sent_grant.latest_end(now) for sent_grant in self.in_flight)
        return max(self.unanswered, max(ends, default=-math.inf))


class SentGrants:
    """Tracks until when one incarnation may hold each granted range.

    Bounds are kept by range, because renewing the grant of one range does not
    extend the grants of others.
    """

    def __init__(self) -> None:
        self._sent_by_bounds: dict[KeyBounds, _SentBounds] = defaultdict(
            _SentBounds
        )

    def record_send(self, sent_grant: SentGrant) -> None:
        """Record that a grant is about to be sent."""
        self._sent_by_bounds[sent_grant.bounds].in_flight.add(sent_grant)

    def record_answer(self, sent_grant: SentGrant, now: float) -> None:
        """Record that the grant was just answered.

        Servers may repeat the answer to an earlier grant, so this one may
        still be on its way.
        """
        sent = self._sent_by_bounds[sent_grant.bounds]
        sent.in_flight.remove(sent_grant)
        sent.answered = max(sent.answered, sent_grant.latest_end(now))

    def retract(self, sent_grant: SentGrant) -> None:
        """Remove a grant that was not sent after all."""
        sent = self._sent_by_bounds[sent_grant.bounds]
        sent.in_flight.remove(sent_grant)

    def record_no_answer(self, sent_grant: SentGrant, end: float) -> None:
        """Record that the grant was not answered in time."""
        sent = self._sent_by_bounds[sent_grant.bounds]
        sent.in_flight.remove(sent_grant)
        sent.unanswered = max(sent.unanswered, end)

    def inherit(
        self,
        bounds: KeyBounds,
        holds: float,
        unanswered: float,
    ) -> None:
        """Merge the bounds that another coordinator reported."""
        sent = self._sent_by_bounds[bounds]
        sent.answered = max(sent.answered, holds)
        sent.unanswered = max(sent.unanswered, unanswered)

    def holds_until(self, bounds: KeyBounds, now: float) -> float:
        """Return when all grants that overlap some keys have expired."""
        found = _overlapping(self._sent_by_bounds, bounds)
        ends = (sent.holds_until(now) for sent in found)
        return max(ends, default=-math.inf)

    def unanswered_until(self, bounds: KeyBounds, now: float) -> float:
        """Return when all unanswered grants of some keys have expired."""
        found = _overlapping(self._sent_by_bounds, bounds)
        ends = (sent.unanswered_until(now) for sent in found)
        return max(ends, default=-math.inf)

    def drop_expired(self, now: float) -> None:
        """Drop ranges whose grants have expired."""
        old = [
            bounds
            for bounds, sent in self._sent_by_bounds.items()
            if sent.holds_until(now) < now
        ]
        for bounds in old:
            self._sent_by_bounds.pop(bounds)

    def rows(self, now: float) -> Iterator[tuple[KeyBounds, float, float]]:
        """Yield each range with the bounds of all and of unanswered grants."""
        for bounds, sent in self._sent_by_bounds.items():
            yield bounds, sent.holds_until(now), sent.unanswered_until(now)


def _overlapping(
    sent_by_bounds: Mapping[KeyBounds, _SentBounds],
    bounds: KeyBounds,
) -> Iterator[_SentBounds]:
    first, last = bounds
    for (known_first, known_last), sent in sent_by_bounds.items():
        if known_first <= last and first <= known_last:
            yield sent

"""Bounds on the grants sent to one incarnation of a backend server."""

import math
from collections import defaultdict
from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from carobwalk.keyspace._key_range import KeyBounds


@dataclass(slots=True)
class _SentBounds:
    """Bounds on the grants of one range, as times of the ledger's clock.

    Args:
        holds: When the last grant expires.
        unanswered: When the last grant whose answer timed out expires.
        in_flight: Number of grants that wait for an answer.
    """

    holds: float = -math.inf
    unanswered: float = -math.inf
    in_flight: int = 0

    @property
    def latest_unanswered(self) -> float:
        """When the last grant without an answer expires."""
        return self.holds if self.in_flight else self.unanswered


class SentGrants:
    """Tracks until when one incarnation may hold each granted range.

    Bounds are kept by range, because renewing the grant of one range does not
    extend the grants of others.
    """

    def __init__(self) -> None:
        self._sent_by_bounds: dict[KeyBounds, _SentBounds] = defaultdict(
            _SentBounds
        )

    def record_send(self, bounds: KeyBounds, end: float) -> float:
        """Record that a grant is sent; return the previous bound."""
        sent = self._sent_by_bounds[bounds]
        known = sent.holds
        sent.holds = max(known, end)
        sent.in_flight += 1
        return known

    def record_answer(self, bounds: KeyBounds) -> None:
        """Record that the grant was answered."""
        self._sent_by_bounds[bounds].in_flight -= 1

    def retract(self, bounds: KeyBounds, known: float) -> None:
        """Restore the previous bound of a grant that was not sent."""
        sent = self._sent_by_bounds[bounds]
        sent.holds = known
        sent.in_flight -= 1

    def record_no_answer(self, bounds: KeyBounds, end: float) -> None:
        """Record that the grant was not answered in time."""
        sent = self._sent_by_bounds[bounds]
        sent.unanswered = max(sent.unanswered, end)
        sent.in_flight -= 1

    def inherit(
        self,
        bounds: KeyBounds,
        holds: float,
        unanswered: float,
    ) -> None:
        """Merge the bounds that another coordinator reported."""
        sent = self._sent_by_bounds[bounds]
        sent.holds = max(sent.holds, holds)
        sent.unanswered = max(sent.unanswered, unanswered)

    def holds_until(self, bounds: KeyBounds) -> float:
        """Return when all grants that overlap some keys have expired."""
        found = _overlapping(self._sent_by_bounds, bounds)
        ends = (sent.holds for sent in found)
        return max(ends, default=-math.inf)

    def unanswered_until(self, bounds: KeyBounds) -> float:
        """Return when all unanswered grants of some keys have expired."""
        found = _overlapping(self._sent_by_bounds, bounds)
        ends = (sent.latest_unanswered for sent in found)
        return max(ends, default=-math.inf)

    def drop_expired(self, now: float) -> None:
        """Drop ranges whose grants have expired."""
        old = [
            bounds
            for bounds, sent in self._sent_by_bounds.items()
            if sent.holds < now and not sent.in_flight
        ]
        for bounds in old:
            self._sent_by_bounds.pop(bounds)

    def rows(self) -> Iterator[tuple[KeyBounds, float, float]]:
        """Yield each range with the bounds of all and of unanswered grants."""
        for bounds, sent in self._sent_by_bounds.items():
            yield bounds, sent.holds, sent.latest_unanswered


def _overlapping(
    sent_by_bounds: Mapping[KeyBounds, _SentBounds],
    bounds: KeyBounds,
) -> Iterator[_SentBounds]:
    first, last = bounds
    for (known_first, known_last), sent in sent_by_bounds.items():
        if known_first <= last and first <= known_last:
            yield sent

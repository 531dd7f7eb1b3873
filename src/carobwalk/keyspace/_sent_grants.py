"""Grants that one life of a backend server got, range by range."""

import math
from collections import defaultdict
from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from carobwalk.keyspace._key_range import KeyBounds


@dataclass(slots=True)
class _Sent:
    """Bounds on the grants of one range, as times of the ledger's clock."""

    holds: float = -math.inf
    unanswered: float = -math.inf
    in_flight: int = 0

    @property
    def latest_unanswered(self) -> float:
        """When the last grant that has no answer is over."""
        return self.holds if self.in_flight else self.unanswered


class SentGrants:
    """Until when one life may hold what it was granted.

    A server that is granted one range again and again doesn't hold another
    one for longer.
    """

    def __init__(self) -> None:
        self._sent_by_bounds: dict[KeyBounds, _Sent] = defaultdict(_Sent)

    def send(self, bounds: KeyBounds, end: float) -> float:
        """Take in that a grant is sent; return the bound before it."""
        sent = self._sent_by_bounds[bounds]
        known = sent.holds
        sent.holds = max(known, end)
        sent.in_flight += 1
        return known

    def answer(self, bounds: KeyBounds) -> None:
        """Take in that the grant was answered."""
        self._sent_by_bounds[bounds].in_flight -= 1

    def retract(self, bounds: KeyBounds, known: float) -> None:
        """Take in that nothing of the grant was sent."""
        sent = self._sent_by_bounds[bounds]
        sent.holds = known
        sent.in_flight -= 1

    def lose(self, bounds: KeyBounds, end: float) -> None:
        """Take in that the grant got no answer."""
        sent = self._sent_by_bounds[bounds]
        sent.unanswered = max(sent.unanswered, end)
        sent.in_flight -= 1

    def inherit(
        self,
        bounds: KeyBounds,
        holds: float,
        unanswered: float,
    ) -> None:
        """Take in what another coordinator sent."""
        sent = self._sent_by_bounds[bounds]
        sent.holds = max(sent.holds, holds)
        sent.unanswered = max(sent.unanswered, unanswered)

    def holds_until(self, bounds: KeyBounds) -> float:
        """Return when none of some keys is held any more."""
        found = _overlapping(self._sent_by_bounds, bounds)
        ends = (sent.holds for sent in found)
        return max(ends, default=-math.inf)

    def unanswered_until(self, bounds: KeyBounds) -> float:
        """Return when no unanswered grant of some keys is left."""
        found = _overlapping(self._sent_by_bounds, bounds)
        ends = (sent.latest_unanswered for sent in found)
        return max(ends, default=-math.inf)

    def drop_old(self, now: float) -> None:
        """Forget ranges whose grants are over."""
        old = [
            bounds
            for bounds, sent in self._sent_by_bounds.items()
            if sent.holds < now and not sent.in_flight
        ]
        for bounds in old:
            self._sent_by_bounds.pop(bounds)

    def rows(self) -> Iterator[tuple[KeyBounds, float, float]]:
        """Yield each range, and when it is free and all was answered."""
        for bounds, sent in self._sent_by_bounds.items():
            yield bounds, sent.holds, sent.latest_unanswered


def _overlapping(
    sent_by_bounds: Mapping[KeyBounds, _Sent],
    bounds: KeyBounds,
) -> Iterator[_Sent]:
    first, last = bounds
    for (known_first, known_last), sent in sent_by_bounds.items():
        if known_first <= last and first <= known_last:
            yield sent

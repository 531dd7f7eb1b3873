"""Bounds on the grants sent to one incarnation of a backend server."""

import math
from collections import defaultdict
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from carobwalk.keyspace._key_range import KeyBounds, ServerIncarnation


@dataclass(frozen=True, slots=True)
class SentGrant:
    """Handle of a grant in flight.

    Args:
        incarnation: Incarnation of the server that the grant is sent to.
        bounds: First and last key of the granted range.
        number: Number of the grant, unique for its incarnation.
    """

    incarnation: ServerIncarnation
    bounds: KeyBounds
    number: int


@dataclass(slots=True)
class _SentBounds:
    """Bounds on the grants of one range, as times of the ledger's clock.

    Each grant in flight has an entry of its own, because other bounds may
    change before its outcome is known.

    Args:
        answered: When the last answered grant expires.
        unanswered: When the last grant whose answer timed out expires.
        in_flight_by_number: When each grant that waits for an answer expires.
    """

    answered: float = -math.inf
    unanswered: float = -math.inf
    in_flight_by_number: dict[int, float] = field(default_factory=dict)

    @property
    def holds(self) -> float:
        """When the last grant expires."""
        return max(self.answered, self.latest_unanswered)

    @property
    def latest_unanswered(self) -> float:
        """When the last grant without an answer expires."""
        in_flight = self.in_flight_by_number.values()
        return max(self.unanswered, *in_flight, -math.inf)


class SentGrants:
    """Tracks until when one incarnation may hold each granted range.

    Bounds are kept by range, because renewing the grant of one range does not
    extend the grants of others.
    """

    def __init__(self) -> None:
        self._sent_by_bounds: dict[KeyBounds, _SentBounds] = defaultdict(
            _SentBounds
        )
        self._next_number = 0

    def record_send(
        self,
        incarnation: ServerIncarnation,
        bounds: KeyBounds,
        end: float,
    ) -> SentGrant:
        """Record that a grant is sent, which expires at ``end``."""
        sent_grant = SentGrant(incarnation, bounds, self._next_number)
        self._next_number += 1
        in_flight = self._sent_by_bounds[bounds].in_flight_by_number
        in_flight[sent_grant.number] = end
        return sent_grant

    def record_answer(self, sent_grant: SentGrant) -> None:
        """Record that the grant was answered."""
        sent = self._sent_by_bounds[sent_grant.bounds]
        end = sent.in_flight_by_number.pop(sent_grant.number)
        sent.answered = max(sent.answered, end)

    def retract(self, sent_grant: SentGrant) -> None:
        """Remove a grant that was not sent after all."""
        sent = self._sent_by_bounds[sent_grant.bounds]
        sent.in_flight_by_number.pop(sent_grant.number)

    def record_no_answer(self, sent_grant: SentGrant, end: float) -> None:
        """Record that the grant was not answered in time."""
        sent = self._sent_by_bounds[sent_grant.bounds]
        sent.in_flight_by_number.pop(sent_grant.number)
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
            if sent.holds < now and not sent.in_flight_by_number
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

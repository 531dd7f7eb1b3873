"""Until when lives of backend servers may hold keys."""

import math
from collections import defaultdict
from dataclasses import dataclass

import msgspec

from carobwalk.keyspace._key_range import (
    MOST_KEY,
    KeyBounds,
    KeyRange,
    ServerLife,
)
from carobwalk.keyspace._sent_grants import SentGrants
from carobwalk.keyspace._times import KeyTimes
from carobwalk.model import Clock, ServerId

_ALL_KEYS: KeyBounds = (0, MOST_KEY)


@dataclass(frozen=True, slots=True, kw_only=True)
class Inherited:
    """Bounds on the grants that earlier coordinators sent.

    Args:
        holds: Seconds until the last of them is over.
        unanswered: Seconds until the last unanswered one of them is over.
    """

    holds: float
    unanswered: float


class GrantBounds(msgspec.Struct, array_like=True, frozen=True):
    """Bounds on the grants of one range that one life got.

    Args:
        server: Server of the life.
        born: Start of the life.
        keys: First and last key.
        holds: Seconds until the last of them is over.
        unanswered: Seconds until the last unanswered one of them is over.
    """

    server: str
    born: int
    keys: KeyBounds
    holds: float
    unanswered: float


class LedgerState(msgspec.Struct, frozen=True):
    """Bounds on all grants of a term, as its successor learns them.

    Args:
        holds: Seconds until what the term itself inherited is over.
        unanswered: Seconds until the unanswered part of that is over.
        grants: Bounds on the grants of the term.
    """

    holds: float
    unanswered: float
    grants: tuple[GrantBounds, ...]


class GrantLedger:
    """Bounds on the ends of all grants that were sent.

    A grant that was answered ends with a release that is answered. One that
    was not answered may be applied later, also after a release; it counts
    from its arrival all the same.

    Args:
        times: Times of grants.
        clock: Clock that runs on while the host is suspended.
        inherited: Grants that other coordinators sent.
    """

    def __init__(
        self,
        times: KeyTimes,
        clock: Clock,
        inherited: Inherited,
    ) -> None:
        self._times = times
        self._clock = clock
        self._inherited_until = clock.now() + inherited.holds
        self._inherited_unanswered = clock.now() + inherited.unanswered
        self._sent_by_life: dict[ServerLife, SentGrants] = defaultdict(
            SentGrants,
        )

    def sending(self, part: KeyRange, hold: float) -> float:
        """Take in that a grant is about to be sent to a range's owner.

        Returns:
            The bound before it, for ``retract``.
        """
        times = self._times
        now = self._clock.now()
        latest_arrival = times.order_timeout + times.arrival_slack
        sent = self._sent_by_life[part.owner]
        sent.drop_old(now)
        end = now + latest_arrival + times.latest_end(hold)
        return sent.send(part.bounds, end)

    def answered(self, part: KeyRange) -> None:
        """Take in that a grant just got its answer."""
        self._sent_by_life[part.owner].answer(part.bounds)

    def retract(self, part: KeyRange, bound: float) -> None:
        """Take in that nothing of the last grant was sent."""
        self._sent_by_life[part.owner].retract(part.bounds, bound)

    def unanswered(self, part: KeyRange, hold: float) -> None:
        """Take in that a grant just got no answer."""
        times = self._times
        end = self._clock.now() + times.arrival_slack + times.latest_end(hold)
        self._sent_by_life[part.owner].lose(part.bounds, end)

    def holds_until(
        self,
        life: ServerLife,
        keys: KeyBounds = _ALL_KEYS,
    ) -> float:
        """Return when a life holds none of some keys if it gets nothing."""
        sent = self._sent_by_life[life].holds_until(keys)
        return max(sent, self._inherited_until)

    def free_after_release(
        self,
        life: ServerLife,
        keys: KeyBounds = _ALL_KEYS,
    ) -> float:
        """Return from when on an answered release of some keys is certain."""
        sent = self._sent_by_life[life].unanswered_until(keys)
        return max(sent, self._inherited_unanswered)

    def state(self) -> LedgerState:
        """Return what a successor has to wait for."""
        now = self._clock.now()
        grants = tuple(
            GrantBounds(
                server=life.server,
                born=life.born,
                keys=keys,
                holds=holds - now,
                unanswered=max(unanswered - now, 0),
            )
            for life, sent in self._sent_by_life.items()
            for keys, holds, unanswered in sent.rows()
            if holds > now
        )
        return LedgerState(
            max(self._inherited_until - now, 0),
            max(self._inherited_unanswered - now, 0),
            grants,
        )

    def inherit(self, state: LedgerState) -> None:
        """Take exact bounds for the inherited grants.

        Args:
            state: The predecessor's bounds, counted from now.
        """
        now = self._clock.now()
        self._inherited_until = min(self._inherited_until, now + state.holds)
        self._inherited_unanswered = min(
            self._inherited_unanswered,
            now + state.unanswered,
        )
        for row in state.grants:
            life = ServerLife(ServerId(row.server), row.born)
            self._sent_by_life[life].inherit(
                row.keys,
                now + row.holds,
                now + row.unanswered,
            )

    @property
    def is_settled(self) -> bool:
        """Whether no grant is left that was not answered."""
        latest = max(
            (
                sent.unanswered_until(_ALL_KEYS)
                for sent in self._sent_by_life.values()
            ),
            default=-math.inf,
        )
        return max(latest, self._inherited_unanswered) <= self._clock.now()
